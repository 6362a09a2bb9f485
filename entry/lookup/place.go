package lookup

// place identifies a ranking; an unknown zone stands for clients of unknown blocks.
type place struct {
	away   bool
	length int
	zone   string
}
