package fleet

import "strings"

// Host is one host with the addresses of its two processes, which are nil until they are started.
type Host struct {
	Caller, EntryAdmin, EntryLink, Relay, SteerAdmin, SteerLink string
	Entry, Steer                                                *Process
	// ListenIP and SourceIP are the addresses on which the host listens and from which it dials, if there is a network.
	ListenIP, SourceIP string
	Name, Region, Zone string
	// Peers are the link addresses of the steers that the host knows from the start.
	Peers []string
}

// entryArgs returns the flags that only the entry process has.
func (h *Host) entryArgs() []string {
	return []string{
		"-caller-address", h.Caller, "-relay-address", h.Relay, "-link-address", h.EntryLink, "-admin-address", h.EntryAdmin,
		"-steer-address", h.SteerLink,
	}
}

// sharedArgs returns the flags that both processes have.
func (h *Host) sharedArgs() []string {
	args := []string{"-host", h.Name, "-region", h.Region, "-zone", h.Zone, "-peers", strings.Join(h.Peers, ",")}
	if h.ListenIP != "" {
		args = append(args, "-listen-ip", h.ListenIP, "-source-ip", h.SourceIP)
	}
	return args
}

// steerArgs returns the flags that only the steer has.
func (h *Host) steerArgs() []string {
	return []string{"-link-address", h.SteerLink, "-admin-address", h.SteerAdmin, "-entry-address", h.EntryLink}
}
