package meter

// histogramKey identifies a histogram by its name and the values of its two labels.
type histogramKey struct {
	first string
	last  string
	name  string
}
