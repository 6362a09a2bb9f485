// Command teststore is the stand-in for the platform's object store: in memory, with switchable faults.
package main
