// Package server serves a store.Memory over HTTP as the stand-in for the platform's object store.
package server
