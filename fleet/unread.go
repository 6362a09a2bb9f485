package fleet

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Positions of the fields of a line of /proc/net/tcp.
const (
	tcpLocal  = 1
	tcpQueues = 4
	tcpInode  = 9
	tcpFields = 10
)

// QueuedBytes returns the bytes that the kernel holds for the IPv4 sockets of a local address, from /proc: received but not yet read,
// and sent but not yet acknowledged.
func QueuedBytes(address string) (received, sent int64, err error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	local := fmt.Sprintf("%s:%04X", kernelIP(a.Addr()), a.Port())
	return sumQueues(func(fields []string) bool { return fields[tcpLocal] == local })
}

// QueuedBytes returns the bytes that the kernel holds for the sockets of the process and for all others of an IP address on which only this
// process listens, such as those that it has not accepted yet.
func (p *Process) QueuedBytes(ip string) (int64, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return 0, errors.Trace(err)
	}
	directory := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0, errors.Trace(err)
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		if link, err := os.Readlink(directory + "/" + entry.Name()); err == nil {
			inodes[strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")] = true
		}
	}
	local := kernelIP(address) + ":"
	received, sent, err := sumQueues(func(fields []string) bool {
		return inodes[fields[tcpInode]] || strings.HasPrefix(fields[tcpLocal], local)
	})
	return received + sent, err
}

// kernelIP returns an IPv4 address as /proc shows it.
func kernelIP(address netip.Addr) string {
	ip := address.As4()
	return fmt.Sprintf("%08X", binary.LittleEndian.Uint32(ip[:]))
}

// sumQueues adds up the queues of the sockets that match.
func sumQueues(match func(fields []string) bool) (received, sent int64, err error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < tcpFields || !match(fields) {
			continue
		}
		out, in, _ := strings.Cut(fields[tcpQueues], ":")
		s, errSent := strconv.ParseInt(out, 16, 64)
		r, errReceived := strconv.ParseInt(in, 16, 64)
		if errSent == nil && errReceived == nil {
			sent, received = sent+s, received+r
		}
	}
	return received, sent, nil
}
