package memory

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	megabyte = 1 << 20
	// defaultMemoryMB is the memory of a host that states none, in MB.
	defaultMemoryMB = 512
	// maxDefaultDescriptors bounds the descriptors of a host that states none, whatever the operating system permits.
	maxDefaultDescriptors = 32768
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// connectionBytes is what an idle connection holds: its goroutine, its buffers and the socket.
	connectionBytes = 16 << 10
)

// Parts of the memory of a host in percent. A process without callers takes 20 to 30 MB; the rest is for the kernel's socket buffers
// and for memory that is not collected yet.
const (
	budgetPercent      = 33
	connectionsPercent = 20
	// linkPercent is for the frames of links to other hosts, which must not depend on what clients hold.
	linkPercent = 10
	// socketPercent is for the socket buffers of all ports in each direction, which the kernel doubles; see sockets.
	socketPercent = 4
	// softLimitPercent is the part from which the garbage collector runs more often than the growth of the heap demands. Without it, a
	// short crowd leaves garbage of several times the budget before the next collection.
	softLimitPercent = 65
)

// Parts of the descriptors of a host in percent. The rest is for connections to targets, the store and other hosts.
const (
	callersPercent = 50
	linksPercent   = 15
	lookupsPercent = 5
	otherPercent   = 2
)

// maxHeaderLines is the number of lines of a head of 64 KiB of which each line has the shortest form.
const maxHeaderLines = 16384

// Limits are the bounds of one process. The numbers of connections are those of one listener.
type Limits struct {
	// BudgetBytes is the size of the budget for clients and targets, and LinkBytes of the one for frames of links.
	BudgetBytes, LinkBytes int64
	// Callers, Links, Lookups and Other are the numbers of connections that the ports for requests, for other hosts, for lookups and
	// for everything else accept.
	Callers, Links, Lookups, Other int
	// HeaderLines is the number of lines of a request head.
	HeaderLines int64
	// SocketBytes is divided among the socket buffers of all ports in each direction.
	SocketBytes int64
	// SoftBytes is the soft memory limit of the Go runtime.
	SoftBytes int64
}

// NewLimits returns the limits of a host with memoryMB MB and a number of descriptors. A value of 0 stands for 512 MB, and for the
// descriptors that the operating system permits, at most 32,768.
func NewLimits(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	memory := int64(memoryMB) * megabyte
	// Links are not bounded by the memory, because hosts open one for each other and send little.
	sockets := max(0, descriptors-fileDescriptors)
	affordable := int(min(int64(sockets), memory/wholePercent*connectionsPercent/connectionBytes))
	return Limits{
		BudgetBytes: memory / wholePercent * budgetPercent, LinkBytes: memory / wholePercent * linkPercent, Callers: part(affordable, callersPercent), Links: part(sockets, linksPercent),
		Lookups: part(affordable, lookupsPercent), Other: part(affordable, otherPercent), HeaderLines: maxHeaderLines,
		SocketBytes: memory / wholePercent * socketPercent, SoftBytes: memory / wholePercent * softLimitPercent,
	}
}

// minConnections is the smallest limit of a listener.
const minConnections = 8

// part returns a percentage of a number of connections.
func part(of, percent int) int {
	return max(minConnections, of*percent/wholePercent)
}

// SetSoftLimit sets the soft memory limit of the Go runtime, unless the environment variable GOMEMLIMIT has set one.
func (l Limits) SetSoftLimit() {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(l.SoftBytes)
	}
}

// systemDescriptors returns the number of descriptors that the operating system permits.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDefaultDescriptors
	}
	return int(min(limit.Cur, maxDefaultDescriptors)) //nolint:gosec // At most maxDefaultDescriptors.
}
