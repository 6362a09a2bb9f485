// Command entry serves callers: look-ups, requests, relayed requests and all limits of the objects that it owns.
package main
