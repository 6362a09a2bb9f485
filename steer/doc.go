// Command steer keeps settings, membership and ownership of its host in step with the platform's store.
package main
