package core

// LoadSource tells the load of the targets that this process owns.
type LoadSource interface {
	// ServiceLoad returns the load of a service now; free slots count only targets in good standing.
	ServiceLoad(service string) ServiceLoad
}
