// Command teststore is an in-memory stand-in for the platform's object store, with faults that can be set over HTTP.
package main
