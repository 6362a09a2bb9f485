// Package ring joins goroutines by a bounded queue with an explicit overflow rule.
package ring
