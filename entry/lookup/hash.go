package lookup

// hash mixes the key of a client address; it is the same on every host, so that each of them names the same hosts to a
// client. Clients change the bits of an IPv6 address that are not in its key.
func hash(key uint64) uint64 {
	// The finalizer of SplitMix64.
	h := key + 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
