// Command testup runs upstream targets that keep evidence and can be told to misbehave.
package main
