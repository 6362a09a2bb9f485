package config

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"ebonyrouter.dev/core"
)

// Upper limits of numbers outside policies.
const (
	maxAffinityProbes = 16
	maxBlockParts     = 4096
	maxConnections    = 65_535
	maxMbitPerSecond  = 10_000_000
	maxOneWayMs       = 60_000
	maxRequests       = 10_000_000
	maxRouteAttempts  = 16
	maxSlots          = 65_535
	maxWeight         = 1_000_000
)

var (
	// Names become parts of store keys and of paths, so they contain neither slashes nor dots.
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,62})$`)
	hostNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,252})$`)
)

// checker checks one settings tree and collects its problems. zones maps each availability zone to its region.
type checker struct {
	*ProblemsError
	// omitted lists the problems of the parts that a tolerant check removed from the tree; it is nil if the check is not tolerant.
	omitted  *[]Problem
	regions  map[string]bool
	settings *core.Settings
	zones    map[string]string
}

// check adds the problems of the decoded tree to problems.
func check(settings *core.Settings, problems *ProblemsError) {
	checkParts(settings, problems, nil)
}

// checkParts adds the problems of the tree to problems. If omitted is not nil, it removes invalid services, routes and customers from
// the tree and adds their problems to omitted instead.
func checkParts(settings *core.Settings, problems *ProblemsError, omitted *[]Problem) {
	c := &checker{ProblemsError: problems, omitted: omitted, regions: map[string]bool{}, settings: settings, zones: map[string]string{}}
	c.name("deployment", settings.Deployment)
	c.policy("policy", settings.Policy)
	if len(settings.Regions) == 0 {
		c.add("regions", "at least one region is needed")
	}
	for _, region := range slices.Sorted(maps.Keys(settings.Regions)) {
		c.region(region)
	}
	if r := settings.StoreRegion; r != "" && !c.regions[r] {
		c.add("store_region", "unknown region %q", r)
	}
	c.services()
	c.routes()
	c.customers()
	c.rankedAdmission()
	links := c.links()
	c.shifts(links)
	c.drains()
	c.blocks()
}

func (c *checker) address(path, address string, used map[string]string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil, parsed.Port() == 0, parsed.Addr().IsUnspecified():
		c.add(path, "%q is not an IP address with port", address)
		return
	case used[parsed.String()] != "":
		c.add(path, "%q is already used at %s", address, used[parsed.String()])
	}
	used[parsed.String()] = path
}

func (c *checker) blocks() {
	b := c.settings.Blocks
	c.inRange("blocks.parts", int64(b.Parts), 0, maxBlockParts)
	if (b.Parts > 0) != (b.Version != "") {
		c.add("blocks.version", "version and parts must be given together")
	}
	if b.Version != "" {
		c.name("blocks.version", b.Version)
	}
}

func (c *checker) drains() {
	d := c.settings.Drains
	c.unique("drains.gone", d.Gone, func(path, host string) { c.name(path, host) })
	c.unique("drains.hosts", d.Hosts, func(path, host string) { c.name(path, host) })
	c.unique("drains.zones", d.Zones, func(path, zone string) {
		if c.zones[zone] == "" {
			c.add(path, "unknown availability zone %q", zone)
		}
	})
	known := map[string]bool{}
	for service, s := range c.settings.Services {
		for target := range s.Targets {
			known[service+"/"+target] = true
		}
	}
	c.unique("drains.targets", d.Targets, func(path, target string) {
		if !known[target] {
			c.add(path, "unknown target %q, must be service/target", target)
		}
	})
}

// homeRegions checks home regions and returns the known ones. A list without any known region is a problem also in a tolerant check,
// because an empty list would permit every region.
func (c *checker) homeRegions(path string, regions []string) []string {
	var known []string
	for n, region := range regions {
		if c.regions[region] {
			known = append(known, region)
			continue
		}
		c.omit(fmt.Sprintf("%s[%d]", path, n), "unknown region %q", region)
	}
	if len(known) == 0 && len(regions) > 0 {
		c.add(path, "none of the regions is known")
	}
	return known
}

func (c *checker) inRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, "%d is not between %d and %d", value, low, high)
	}
}

// items checks the n items of the list at path and returns the indexes of those that remain: the valid ones in a tolerant check and
// otherwise all.
func (c *checker) items(path string, n int, checkItem func(path string, i int)) []int {
	kept := make([]int, 0, n)
	for i := range n {
		mark := len(c.Problems)
		checkItem(path+"["+strconv.Itoa(i)+"]", i)
		if !c.dropSince(mark) {
			kept = append(kept, i)
		}
	}
	return kept
}

// dropSince reports whether a tolerant check must remove the part to which the problems since mark belong, and moves these problems to
// the omitted ones.
func (c *checker) dropSince(mark int) bool {
	if c.omitted == nil || len(c.Problems) == mark {
		return false
	}
	*c.omitted = append(*c.omitted, c.Problems[mark:]...)
	c.Problems = c.Problems[:mark]
	return true
}

// omit adds a problem with a value that a tolerant check leaves out without the part that contains it.
func (c *checker) omit(path, format string, args ...any) {
	if c.omitted == nil {
		c.add(path, format, args...)
		return
	}
	*c.omitted = append(*c.omitted, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) links() map[string]bool {
	links := map[string]bool{}
	for i, l := range c.settings.Links {
		path := fmt.Sprintf("links[%d]", i)
		c.pair(path, l.From, l.To)
		c.inRange(path+".mbit_per_second", l.MbitPerSecond, 1, maxMbitPerSecond)
		c.inRange(path+".one_way_ms", l.OneWayMs, 0, maxOneWayMs)
		key := linkKey(l.From, l.To)
		if links[key] {
			c.add(path, "a link from %q to %q occurs more than once", l.From, l.To)
		}
		links[key] = true
	}
	return links
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, "%q is not a name of lower-case letters, digits, - and _", name)
	}
}

func (c *checker) overrides(path string, services map[string]core.Policy) {
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if _, found := c.settings.Services[service]; !found {
			c.add(path+"."+service, "unknown service %q", service)
		}
		c.policy(path+"."+service, services[service])
	}
}

// pair checks the two ends of a link or a shift.
func (c *checker) pair(path, from, to string) {
	if !c.regions[from] {
		c.add(path+".from", "unknown region %q", from)
	}
	if !c.regions[to] {
		c.add(path+".to", "unknown region %q", to)
	}
	if from == to {
		c.add(path+".to", "must differ from from")
	}
}

func (c *checker) policy(path string, policy core.Policy) {
	for _, f := range fields {
		if value := f.from(&policy); value != nil {
			c.inRange(path+"."+f.name, *value, f.min, f.max)
		}
	}
}

func (c *checker) region(name string) {
	path := "regions." + name
	region := c.settings.Regions[name]
	c.regions[name] = true
	c.name(path, name)
	c.policy(path+".policy", region.Policy)
	c.overrides(path+".services", region.Services)
	if len(region.Zones) == 0 {
		c.add(path+".zones", "at least one availability zone is needed")
	}
	for _, zone := range slices.Sorted(maps.Keys(region.Zones)) {
		zonePath := path + ".zones." + zone
		c.name(zonePath, zone)
		if other := c.zones[zone]; other != "" {
			c.add(zonePath, "the availability zone is already in region %q", other)
		}
		c.zones[zone] = name
		c.policy(zonePath+".policy", region.Zones[zone].Policy)
		c.overrides(zonePath+".services", region.Zones[zone].Services)
	}
}

func (c *checker) routes() {
	list := c.settings.Routes
	prefixes := map[string]bool{}
	kept := c.items("routes", len(list), func(path string, i int) { c.route(path, &list[i], prefixes) })
	if len(kept) == len(list) {
		return
	}
	valid := make([]core.RouteSettings, 0, len(kept))
	for _, i := range kept {
		valid = append(valid, list[i])
	}
	c.settings.Routes = valid
}

// route checks one route. prefixes holds the Host names and path prefixes of the valid routes before it.
func (c *checker) route(path string, r *core.RouteSettings, prefixes map[string]bool) {
	mark := len(c.Problems)
	if !hostNamePattern.MatchString(r.HostName) {
		c.add(path+".host_name", "%q is not a lower-case host name", r.HostName)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(path+".path_prefix", "%q does not begin and end with a slash", r.PathPrefix)
	}
	key := r.HostName + r.PathPrefix
	if prefixes[key] {
		c.add(path+".path_prefix", "a route for %q occurs more than once", key)
	}
	c.inRange(path+".timeout_ms", r.TimeoutMs, 1, maxMs)
	c.inRange(path+".aim_ms", r.LatencyObjectiveMs, 0, maxMs)
	c.inRange(path+".max_attempts", r.MaxAttempts, 1, maxRouteAttempts)
	c.backends(path+".backends", r.Backends)
	r.HomeRegions = c.homeRegions(path+".home_regions", r.HomeRegions)
	if len(c.Problems) == mark {
		prefixes[key] = true
	}
}

// backends checks that a route names known services with a positive sum of weights.
func (c *checker) backends(path string, backends []core.BackendSettings) {
	sum := int64(0)
	for i, b := range backends {
		item := fmt.Sprintf("%s[%d]", path, i)
		if _, found := c.settings.Services[b.Service]; !found {
			c.add(item+".service", "unknown service %q", b.Service)
		}
		c.inRange(item+".weight", b.Weight, 0, maxWeight)
		sum += max(0, b.Weight)
	}
	if sum <= 0 {
		c.add(path, "at least one service with a weight above 0 is needed")
	}
}

func (c *checker) services() {
	addresses := map[string]string{}
	hostNames := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.settings.Services)) {
		path, mark := "services."+name, len(c.Problems)
		service := c.settings.Services[name]
		c.name(path, name)
		c.policy(path+".policy", service.Policy)
		c.inRange(path+".affinity_probes", int64(service.AffinityProbes), 0, maxAffinityProbes)
		c.inRange(path+".connections", int64(service.Connections), 0, maxConnections)
		if service.ColdPerSecond < 0 || service.ColdPerSecond > maxRequests {
			c.add(path+".cold_per_second", "%g is not between 0 and %d", service.ColdPerSecond, maxRequests)
		}
		for i, hostName := range service.HostNames {
			hostPath := fmt.Sprintf("%s.host_names[%d]", path, i)
			if !hostNamePattern.MatchString(hostName) {
				c.add(hostPath, "%q is not a lower-case host name", hostName)
			}
			if other := hostNames[hostName]; other != "" {
				c.add(hostPath, "%q is already used at %s", hostName, other)
			}
			hostNames[hostName] = hostPath
		}
		for _, target := range slices.Sorted(maps.Keys(service.Targets)) {
			c.target(path+".targets."+target, target, service.Targets[target], addresses)
		}
		if c.dropSince(mark) {
			delete(c.settings.Services, name)
		}
	}
}

func (c *checker) shifts(links map[string]bool) {
	percents := map[string]int64{}
	shifts := map[string]bool{}
	for i, s := range c.settings.Shifts {
		path := fmt.Sprintf("shifts[%d]", i)
		c.pair(path, s.From, s.To)
		if _, found := c.settings.Services[s.Service]; !found {
			c.add(path+".service", "unknown service %q", s.Service)
		}
		c.inRange(path+".requests_per_second", s.RequestsPerSecond, 0, maxRequests)
		c.inRange(path+".percent", s.Percent, 0, maxPercent)
		if !links[linkKey(s.From, s.To)] {
			c.add(path, "no link from %q to %q", s.From, s.To)
		}
		key := core.ShiftObject(s.Service, s.From, s.To)
		if shifts[key] {
			c.add(path, "a shift of %q from %q to %q occurs more than once", s.Service, s.From, s.To)
		}
		shifts[key] = true
		origin := core.ShiftObject(s.Service, s.From, "")
		percents[origin] += min(max(s.Percent, 0), maxPercent)
		if percents[origin] > maxPercent {
			c.add(path+".percent", "the percents of %q from %q add up to %d, more than %d", s.Service, s.From, percents[origin], maxPercent)
		}
	}
}

func (c *checker) target(path, name string, target core.TargetSettings, addresses map[string]string) {
	c.name(path, name)
	c.address(path+".address", target.Address, addresses)
	c.inRange(path+".connections", int64(target.Connections), 1, maxConnections)
	c.inRange(path+".slots", int64(target.Slots), 1, maxSlots)
	if c.zones[target.Zone] == "" {
		c.add(path+".zone", "unknown availability zone %q", target.Zone)
	}
}

func (c *checker) unique(path string, names []string, checkName func(path, name string)) {
	seen := map[string]bool{}
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", path, i)
		checkName(item, name)
		if seen[name] {
			c.add(item, "%q occurs more than once", name)
		}
		seen[name] = true
	}
}

// linkKey identifies the link from one region to another.
func linkKey(from, to string) string {
	return from + "/" + to
}
