// Package roster tracks the registered entry hosts and their liveness, and selects the hosts that lookups return.
package roster
