// Package member registers the host in the store, tracks the other hosts and detects those that do not respond. Its members
// are all registered hosts. The members in an ownership document (core.Member), which hold leases, are managed
// by package owner.
//
// Each steer process writes its own registration (hosts/<host>) when it changes. The two live hosts with the lowest names
// of each availability zone are its relays. Relays watch the store; all other hosts receive changes from their relays and
// read the store only after 10 s (plus jitter) without an update. This role of a steer process has nothing to do with the
// requests that entry processes relay to each other.
//
// Liveness is detected by the heartbeats of the links. Each host dials the relays of its zone, and of two relays in a
// region the one with the lower name dials; the other end dials after 1 s without a link. A relay lists the unresponsive
// hosts of its zone in a digest. The relays of a region exchange the digests of their zones when these change; a digest
// stays valid while the link is up. The two lowest relays of a region (exporters) merge them into a digest of the region.
// They send it, with the digests of other regions, to one exporter in each of the next two regions in name order.
// Exporters send digests with unchanged content as a hash and the newest sequence. A digest thus reaches 5 regions in two
// steps, without an exchange between all pairs of regions. A host is suspected when none of the relays responsible for it
// receives anything from it. Suspicion only removes a host from lookups; ownership of objects is transferred only through
// leases. The platform's list of hosts is used only to remove the registrations of hosts that no longer exist.
//
// Cost computes the messages per second in a steady state, without the heartbeats of the links, from the constants:
//
//	hosts  regions  zones   total  host  relay  exporter
//	   11        3      6      87   0.0    1.9      13.3
//	  690        5     11     330   0.0   10.8      22.1
//
// The 11 hosts are 2 per zone with 1 in the last zone, so that every host is a relay. The 690 hosts are 63 per zone with
// 60 in the last, with three zones in one region and two in each other region. The busiest exporter of the 690 sends
// 1.8 kB/s of payload and a relay 0.3 kB/s (BenchmarkTick). With digests every 500 ms, a dead host would not always be
// detected within 2 s.
package member
