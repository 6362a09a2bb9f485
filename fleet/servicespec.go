package fleet

// ServiceSpec describes a service of a Deployment. Its targets are spread evenly over the zones of all regions.
type ServiceSpec struct {
	Name string
	// ServiceMs is the time in milliseconds that a target takes to serve a request.
	ServiceMs int
	// Slots is the number of requests that each target serves concurrently.
	Slots int
	// Targets is the number of targets.
	Targets int
}
