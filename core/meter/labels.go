package meter

// labels identifies a histogram by its name and the values of its two labels.
type labels struct {
	first string
	last  string
	name  string
}
