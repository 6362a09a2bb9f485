// Package ring implements a bounded queue between goroutines with an explicit overflow rule.
package ring
