// Command steer keeps the settings, membership and ownership of its host in sync with the platform's store.
package main
