// Package roster tracks the registered entry hosts and their liveness, and selects the hosts that lookups return. Only the
// command platform uses it; the command steer tracks hosts with package member, and the command entry serves lookups with
// package lookup.
package roster
