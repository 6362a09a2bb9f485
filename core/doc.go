// Package core defines the domain types of ebonyrouter and the interfaces that its adapters implement.
package core
