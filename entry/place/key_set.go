package place

// keySet is a set of the hashes of the most recently used affinity keys, in a ring of fixed size.
type keySet struct {
	index map[uint64]int
	next  int
	ring  []uint64
}

// add inserts a key and evicts the oldest one if the ring is full.
func (k *keySet) add(key uint64) {
	if k.index == nil {
		k.index = map[uint64]int{}
		k.ring = make([]uint64, keySetSize)
	}
	if i, found := k.index[key]; found {
		k.ring[i] = 0
	}
	if oldest := k.ring[k.next]; oldest != 0 {
		delete(k.index, oldest)
	}
	k.ring[k.next] = key
	k.index[key] = k.next
	k.next = (k.next + 1) % len(k.ring)
}

// has reports whether the set contains the key.
func (k *keySet) has(key uint64) bool {
	_, found := k.index[key]
	return found
}
