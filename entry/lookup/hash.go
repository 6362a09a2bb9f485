package lookup

// hash returns the hash of the key of a client address. The hash is the same on every host, so that all of them return the
// same list to a client. The key leaves out the lower 64 bits of an IPv6 address, because clients change them.
func hash(key uint64) uint64 {
	// The finalizer of SplitMix64.
	h := key + 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
