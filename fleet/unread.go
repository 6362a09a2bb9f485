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

// QueuedBytes returns the bytes that the kernel holds for the IPv4 sockets of a local address, from /proc: received but not yet read,
// and sent but not yet acknowledged.
func QueuedBytes(address string) (received, sent int64, err error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	ip := a.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), a.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(table)) {
		// The fields are the number, the local and the remote address, the state, and the queues as SENT:RECEIVED.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		out, in, _ := strings.Cut(fields[4], ":")
		s, errSent := strconv.ParseInt(out, 16, 64)
		r, errReceived := strconv.ParseInt(in, 16, 64)
		if errSent == nil && errReceived == nil {
			sent, received = sent+s, received+r
		}
	}
	return received, sent, nil
}
