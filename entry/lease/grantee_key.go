package lease

// granteeKey identifies a member of any region.
type granteeKey struct {
	host   string
	region string
}
