package spread

// Member is one of the targets among which keys are divided. Hash identifies it on all hosts, and Weight is its size.
type Member struct {
	Hash   uint64
	Weight int
}
