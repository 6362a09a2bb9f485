package limit

// Stats counts the targets and shifts that this process owns by state.
type Stats struct {
	// Ejected counts the ejected targets. LastResort counts those among them that stay usable because their ejection
	// would exceed eject_max_percent. Ramping counts the targets with only a part of their slots usable.
	Ejected    int
	LastResort int
	Ramping    int
	// Shifts counts all shifts, and ShiftsRamping those with only a part of their cap usable.
	Shifts        int
	ShiftsRamping int
	// Targets counts the targets that may take work, including ejected ones.
	Targets int
}

// addPool counts the targets of a service.
func (s *Stats) addPool(p *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.blocked() {
			continue
		}
		s.Targets++
		if t.ejected {
			s.Ejected++
		}
		if t.ejected && t.lastResort {
			s.LastResort++
		}
		if t.ramp.active {
			s.Ramping++
		}
	}
}

// addShift counts a shift if it is owned.
func (s *Stats) addShift(sh *shift) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.ownedSince == 0 {
		return
	}
	s.Shifts++
	if sh.ramp.percent < fullPercent {
		s.ShiftsRamping++
	}
}
