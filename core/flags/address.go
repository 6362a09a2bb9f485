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

// ListenAddress returns the address to listen on for an advertised address: ip with the advertised port, or the advertised
// address itself if ip is empty.
func ListenAddress(advertised, ip string) string {
	address, err := netip.ParseAddrPort(advertised)
	listenIP, errIP := netip.ParseAddr(ip)
	if err != nil || errIP != nil {
		return advertised
	}
	return netip.AddrPortFrom(listenIP, address.Port()).String()
}

// SourceAddress returns the local address of outgoing connections for a net.Dialer, or nil if ip is empty, so that the
// system chooses one.
func SourceAddress(ip string) net.Addr {
	sourceIP, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(sourceIP, 0))
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
