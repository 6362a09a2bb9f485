// Command standin3 runs the scripted cases of the third review: stand-ins of the platform's store, of targets and of callers around
// processes of the project's own program.
package main
