package limit

// Stats counts the objects that this process owns by their state.
type Stats struct {
	// Ejected counts the targets that are ejected, LastResort those among them that stay usable because of the ceiling, and
	// Ramping those that have a part of their slots only.
	Ejected    int
	LastResort int
	Ramping    int
	// Shifts counts the shifts, and ShiftsRamping those that may use a part of their cap only.
	Shifts        int
	ShiftsRamping int
	// Targets counts all targets that may take work.
	Targets int
}

// addPool adds the targets of a service.
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
		if t.ejected && t.soft {
			s.LastResort++
		}
		if t.ramp.active {
			s.Ramping++
		}
	}
}

// addShift adds one shift.
func (s *Stats) addShift(f *shift) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == 0 {
		return
	}
	s.Shifts++
	if f.ramp.percent < fullPercent {
		s.ShiftsRamping++
	}
}
