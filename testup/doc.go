// Command testup runs stand-in upstream targets that record evidence of their requests and misbehave on request.
package main
