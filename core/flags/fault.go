package flags

// Fault describes one invalid process setting. Flag is empty if the fault concerns no single defined flag.
type Fault struct {
	Flag string
	Text string
}
