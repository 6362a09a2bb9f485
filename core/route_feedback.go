package core

// RouteFeedback applies what responses of peers reveal about their load, which is newer than their load reports.
type RouteFeedback interface {
	// RecordShiftRejection records that the gateway to the region named by to rejected a request of service as not run.
	RecordShiftRejection(service, to string)
	// UpdateServiceLoad replaces the known load of service at host.
	UpdateServiceLoad(host Host, service string, load ServiceLoad)
}
