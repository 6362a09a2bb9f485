// Command teststore is the test store: an in-memory replacement for the platform's object store, with faults that can be set over HTTP.
package main
