package core

// LoadSource provides the load of the targets that this process owns.
type LoadSource interface {
	// ServiceLoad returns the current load of a service; only healthy targets contribute free slots.
	ServiceLoad(service string) ServiceLoad
}
