// Package member registers the host in the store and knows the other hosts and which of them are heard from.
//
// Registrations (hosts/<host>) are written by their own steer when they change. The two live hosts with the lowest
// ids of each zone are its relays. Relays watch the store; all other hosts get the changes from their relays and read
// the store only after 10 s (jittered) without an update.
//
// Liveness comes from the heartbeats of the links. Each host of a zone dials the relays of the zone, and of two relays of
// a region the one with the lower name dials; the other end dials after 1 s without a link. A relay sums up the hosts of
// its zone that it does not hear in a digest. The relays of a region exchange the digests of their zones when they change;
// these are valid while the links between them are up. The two lowest
// relays of a region (exporters) merge them into a digest of the region and send it, with those of other regions, to
// one exporter each of the next two regions in name order. Exporters send digests whose content did not change as a hash and
// the newest sequence. So a digest reaches 5 regions in two steps and there is no
// exchange of all regions with all. A host is suspected when no relay that answers for it hears from it. Suspicion
// only removes a host from look-ups; permissions are handed on by leases alone. The platform's list of hosts is used
// for nothing but removing the registrations of hosts that are gone.
//
// Messages per second in a steady state, without the links' own heartbeats, are computed by Cost from the constants:
//
//	hosts  regions  zones   total  host  relay  exporter
//	   11        3      6      87   0.0    1.9      13.3
//	  690        5     11     330   0.0   10.8      22.1
//
// The 11 hosts are 2 per zone but 1 in the last; the 690 are 63 per zone but 60 in the last, with three zones in one
// region and two in the others. At 11 hosts every host is a relay. The busiest exporter of the 690
// sends 1.8 kB/s of payload and a relay 0.3 kB/s (BenchmarkTick). Digests every 500 ms would not always tell of a dead host
// within 2 s.
package member
