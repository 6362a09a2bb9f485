// Package server implements the test store, which serves a store.Memory over HTTP in place of the platform's object store.
package server
