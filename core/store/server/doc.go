// Package server serves a store.Memory over HTTP, as a test replacement for the platform's object store.
package server
