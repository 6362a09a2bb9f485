package core

// RouteFeedback adopts the load and the rejections in responses of peers, which are newer than the peers' load reports.
type RouteFeedback interface {
	// RecordShiftRejection records that the gateway to the region named by to rejected a request of service as not run.
	RecordShiftRejection(service, to string)
	// UpdateServiceLoad replaces the known load of service at host.
	UpdateServiceLoad(host Host, service string, load ServiceLoad)
}
