package core

// ShiftBandwidth is the share of the links between two regions that one shift may use, in Mbit/s.
type ShiftBandwidth struct {
	Request  float64 `json:"request_mbit_per_second" msgpack:"request_mbit_per_second"`
	Response float64 `json:"response_mbit_per_second" msgpack:"response_mbit_per_second"`
}

// BandwidthOf returns the bandwidth of one shift. Each link is divided equally among the shifts that use it: it carries
// the requests of the shifts in its direction and the responses of those in the opposite direction. The owners of these
// shifts can therefore enforce their shares without coordination, and the sum never exceeds the link.
func BandwidthOf(settings *Settings, shift ShiftSettings) ShiftBandwidth {
	return ShiftBandwidth{
		Request:  linkShare(settings, shift.From, shift.To),
		Response: linkShare(settings, shift.To, shift.From),
	}
}

// linkShare returns the bandwidth of the link for each shift that uses it, or 0 if there is no such link or shift.
func linkShare(settings *Settings, from, to string) float64 {
	shifts := 0
	for _, s := range settings.Shifts {
		if s.From == from && s.To == to || s.From == to && s.To == from {
			shifts++
		}
	}
	if shifts == 0 {
		return 0
	}
	for _, l := range settings.Links {
		if l.From == from && l.To == to {
			return float64(l.MbitPerSecond) / float64(shifts)
		}
	}
	return 0
}
