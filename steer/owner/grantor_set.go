package owner

// grantorSet identifies one set of grantors of the local member.
type grantorSet struct {
	from        int64
	incarnation string
}
