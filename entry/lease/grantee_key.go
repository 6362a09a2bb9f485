package lease

// granteeKey names a member of any region.
type granteeKey struct {
	host   string
	region string
}
