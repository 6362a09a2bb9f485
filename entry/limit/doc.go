// Package limit enforces the slots of targets and the caps of shifts that this process owns.
package limit
