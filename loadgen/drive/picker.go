package drive

// picker returns the addresses for a request of a worker, in the order in which to try them.
type picker interface {
	pick(worker int) ([]string, error)
}
