package place

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash returns the mixed FNV-1a hash of two strings separated by a zero byte.
func hash(first, second string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(first) {
		h = (h ^ uint64(first[i])) * fnvPrime
	}
	h *= fnvPrime
	for i := range len(second) {
		h = (h ^ uint64(second[i])) * fnvPrime
	}
	return mix(h)
}

// mix applies the 64-bit finalizer of MurmurHash3, because the high bits of an FNV-1a hash hardly depend on the last bytes.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
