package core

// RouteFeedback takes over what the responses of peers show, which is newer than their load reports.
type RouteFeedback interface {
	// RejectShift notes that the gateway to region to rejected a request of service as not run.
	RejectShift(service, to string)
	// UpdateService replaces what is known about the load of service at host.
	UpdateService(host Host, service string, load ServiceLoad)
}
