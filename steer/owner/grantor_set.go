package owner

// grantorSet identifies a set of grantors of the local member by its incarnation and the epoch at which the set was
// written.
type grantorSet struct {
	fromEpoch   int64
	incarnation string
}
