package drive

// picker chooses the addresses of a request in the order in which they are tried.
type picker interface {
	pick(worker int) ([]string, error)
}
