package core

// ShiftBandwidth is the part of the links between two regions that one shift may use, in Mbit/s.
type ShiftBandwidth struct {
	Request  float64 `json:"request_mbit_per_second" msgpack:"request_mbit_per_second"`
	Response float64 `json:"response_mbit_per_second" msgpack:"response_mbit_per_second"`
}

// BandwidthOf divides each link equally among the shifts that cross it in its direction: the requests of the shifts
// that start where the link starts, and the responses of the shifts that end there. The owners of these shifts can
// then enforce their parts without asking each other, and the sum never exceeds the link.
func BandwidthOf(settings *Settings, shift ShiftSettings) ShiftBandwidth {
	return ShiftBandwidth{
		Request:  linkPart(settings, shift.From, shift.To),
		Response: linkPart(settings, shift.To, shift.From),
	}
}

// linkPart returns the part of the link that each shift crossing it gets.
func linkPart(settings *Settings, from, to string) float64 {
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
