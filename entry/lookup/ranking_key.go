package lookup

// rankingKey identifies a ranking. A zone that is not in the settings, such as the empty zone of clients in no block, identifies
// the ranking of all hosts in one group.
type rankingKey struct {
	// otherZonesFirst puts the hosts of the other zones of the region before those of the zone.
	otherZonesFirst bool
	// length is the maximum number of hosts in a list.
	length int
	zone   string
}
