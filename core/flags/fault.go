package flags

// Fault describes one invalid process setting.
type Fault struct {
	Flag string
	Text string
}
