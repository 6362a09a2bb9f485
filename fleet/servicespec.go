package fleet

// ServiceSpec describes one service of a Deployment; its targets are spread evenly over the zones.
type ServiceSpec struct {
	Name string
	// ServiceMs is the time that a target takes for a request.
	ServiceMs int
	// Slots is the number of requests that each target serves at once.
	Slots   int
	Targets int
}
