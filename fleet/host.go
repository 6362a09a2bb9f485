package fleet

import "strings"

// Host is a host of a Deployment with its entry and steer processes.
type Host struct {
	// CallerAddress, EntryAdmin, EntryLink and RelayAddress are the addresses on which the entry process listens, and
	// SteerAdmin and SteerLink those on which the steer process listens.
	CallerAddress, EntryAdmin, EntryLink, RelayAddress, SteerAdmin, SteerLink string
	// Entry and Steer are nil until the process is started.
	Entry, Steer *Process
	// ListenIP is the address on which the host listens and SourceIP the one from which it dials. Both are empty if there
	// is no network.
	ListenIP, SourceIP string
	Name, Region, Zone string
	// Peers are the link addresses of the steer processes that the host is configured with as its initial peers.
	Peers []string
}

// entryArgs returns the flags that are specific to the entry process.
func (h *Host) entryArgs() []string {
	return []string{
		"-caller-address", h.CallerAddress, "-relay-address", h.RelayAddress,
		"-link-address", h.EntryLink, "-admin-address", h.EntryAdmin, "-steer-address", h.SteerLink,
	}
}

// sharedArgs returns the flags that both processes take.
func (h *Host) sharedArgs() []string {
	args := []string{"-host", h.Name, "-region", h.Region, "-zone", h.Zone, "-peers", strings.Join(h.Peers, ",")}
	if h.ListenIP != "" {
		args = append(args, "-listen-ip", h.ListenIP, "-source-ip", h.SourceIP)
	}
	return args
}

// steerArgs returns the flags that are specific to the steer process.
func (h *Host) steerArgs() []string {
	return []string{"-link-address", h.SteerLink, "-admin-address", h.SteerAdmin, "-entry-address", h.EntryLink}
}
