package flags

import (
	"net"

	"go.uber.org/zap"
)

// Process holds the settings that are common to the processes of a host. The values are set once Set.Parse has returned nil.
type Process struct {
	Admin *string
	Host  *string
	Level *string
	Link  *string
	// MaxFDs and MemoryMB are the limits of the process, or 0.
	MaxFDs   *int
	MemoryMB *int
	Peers    *[]string
	Region   *string
	Store    *string
	Token    *string
	Zone     *string

	listenIP *string
	program  string
	sourceIP *string
}

// Process defines the flags that are common to the processes of a host.
func (s *Set) Process() Process {
	return Process{
		Admin:    s.Address("admin-address", "", "address of the administration API, health and metrics"),
		Host:     s.String("host", "", "unique name of this host"),
		Level:    s.OneOf("log-level", "info", "lowest level of log events", LogLevels()...),
		Link:     s.Address("link-address", "", "address of control links from other processes"),
		MaxFDs:   s.OptionalNumber("max-fds", "descriptors that the process may open; 0 stands for what the operating system permits"),
		MemoryMB: s.OptionalNumber("memory-mb", "memory that the process may use, in MB; 0 stands for 512"),
		Peers:    s.Addresses("peers", "", "link addresses of steers on other hosts, used as sources of the settings if no closer source has them"),
		Region:   s.String("region", "", "region of this host"),
		Store:    s.Address("store", "", "address of the platform's store"),
		Token:    s.String("token", "", "shared token of control links and the administration API"),
		Zone:     s.String("zone", "", "availability zone of this host"),

		listenIP: s.OptionalIP("listen-ip", "", "IP address to listen on with the ports of the advertised addresses, if these are not local"),
		program:  s.flags.Name(),
		sourceIP: s.OptionalIP("source-ip", "", "source IP address of outgoing connections"),
	}
}

// Labels returns the fields that every log event carries.
func (p Process) Labels() []zap.Field {
	return []zap.Field{zap.String("process", p.program), zap.String("self", *p.Host)}
}

// Listen returns the address to listen on for an advertised address.
func (p Process) Listen(advertised string) string {
	return ListenAddress(advertised, *p.listenIP)
}

// LogLevel returns the lowest level of log events.
func (p Process) LogLevel() string {
	return *p.Level
}

// Source returns the local address of outgoing connections, or nil to let the system choose.
func (p Process) Source() net.Addr {
	return SourceAddress(*p.sourceIP)
}
