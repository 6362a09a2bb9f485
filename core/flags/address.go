package flags

import (
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// CheckAddress returns an error unless text is an IP address with a port, such as 127.0.0.1:8080.
func CheckAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Errorf("%q is not an IP address with port", text)
	}
	if a.Addr().Zone() != "" {
		return errors.Errorf("%q has an IPv6 scope zone", text)
	}
	return nil
}

// ListenAddress returns where to listen for an advertised address: the same port on ip, or the address itself without
// an ip.
func ListenAddress(advertised, ip string) string {
	a, err := netip.ParseAddrPort(advertised)
	i, errIP := netip.ParseAddr(ip)
	if err != nil || errIP != nil {
		return advertised
	}
	return netip.AddrPortFrom(i, a.Port()).String()
}

// SourceAddress returns the local address of outgoing connections for a net.Dialer, or nil to let the system choose.
func SourceAddress(ip string) net.Addr {
	i, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(i, 0))
}

func checkIP(text string) error {
	a, err := netip.ParseAddr(text)
	if err != nil {
		return errors.Errorf("%q is not an IP address", text)
	}
	if a.Zone() != "" {
		return errors.Errorf("%q has an IPv6 scope zone", text)
	}
	return nil
}
