package main

import (
	"flag"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
)

const (
	minHosts = 1
	maxHosts = 60
	minLoad  = 1
	maxLoad  = 2000
	// Loopback networks are 127.N.0.0/16.
	minNetwork = 2
	maxNetwork = 254
)

// options are the settings of one run.
type options struct {
	duration time.Duration
	hosts    int
	// loadTime is the time for which a program is loaded, in which it cannot handle signals and gets no SIGHUP.
	loadTime time.Duration
	// load is the number of requests a second.
	load    int
	program string
	// logs is the directory for the settings files and logs of the hosts.
	logs string
	// network is the second octet of all addresses, so that several runs can take place at once.
	network int
	seed    uint64
	// calm leaves out all disturbances.
	calm bool
}

// parseOptions reads the flags and the SOAK_ variables.
func parseOptions(args []string) (*options, error) {
	o := &options{}
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.DurationVar(&o.duration, "duration", 40*time.Second, "time for which callers send requests")
	set.IntVar(&o.hosts, "hosts", 10, "number of entry hosts")
	set.IntVar(&o.load, "load", 300, "requests a second")
	set.DurationVar(&o.loadTime, "load-time", 20*time.Millisecond, "time after the start of a process in which it gets no SIGHUP")
	set.StringVar(&o.program, "program", "target/platform", "path of the platform's program")
	set.StringVar(&o.logs, "logs", "", "directory for settings files and logs; a temporary one if empty, which is kept if a check fails")
	set.IntVar(&o.network, "network", 21, "second octet of the loopback addresses")
	set.Uint64Var(&o.seed, "seed", 0, "seed of the plan; 0 draws one")
	set.BoolVar(&o.calm, "calm", false, "leave out all disturbances")
	if err := ff.Parse(set, args, ff.WithEnvVarPrefix("SOAK")); err != nil {
		return nil, errors.Trace(err)
	}
	switch {
	case o.hosts < minHosts || o.hosts > maxHosts:
		return nil, errors.NotValidf("hosts: %d", o.hosts)
	case o.load < minLoad || o.load > maxLoad:
		return nil, errors.NotValidf("load: %d", o.load)
	case o.network < minNetwork || o.network > maxNetwork:
		return nil, errors.NotValidf("network: %d", o.network)
	case o.duration <= 0:
		return nil, errors.NotValidf("duration: %v", o.duration)
	}
	return o, nil
}

// storeAddress returns the address of the store.
func (o *options) storeAddress() string {
	return fmt.Sprintf("127.%d.0.1:8384", o.network)
}
