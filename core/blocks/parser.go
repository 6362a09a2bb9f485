package blocks

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

const (
	siteFields  = 4
	blockFields = 2
)

// parser collects the map and the faults of a block file.
type parser struct {
	faults    FaultsError
	file      File
	line      int
	prefixes  map[netip.Prefix]int
	siteIndex map[string]uint8
	tooMany   bool
}

func newParser() *parser {
	return &parser{file: File{lines: map[string]int{}}, prefixes: map[netip.Prefix]int{}, siteIndex: map[string]uint8{}}
}

func (p *parser) finish() (*File, error) {
	if len(p.file.Sites) == 0 {
		p.fault("", "the file defines no site")
	}
	if len(p.faults.Faults) > 0 {
		return nil, &p.faults
	}
	slices.SortFunc(p.file.Blocks, Compare)
	return &p.file, nil
}

func (p *parser) block(fields []string) {
	if len(fields) != blockFields {
		p.fault(fields[0], "want PREFIX SITE, got %d fields", len(fields))
		return
	}
	prefix, err := netip.ParsePrefix(fields[0])
	if err != nil {
		p.fault(fields[0], "not a prefix such as 192.0.2.0/24 or 2001:db8::/32")
		return
	}
	if err := checkPrefix(prefix); err != nil {
		p.fault(fields[0], "%v; the prefix is %v", err, prefix.Masked())
		return
	}
	if first := p.prefixes[prefix]; first > 0 {
		p.fault(fields[0], "already on line %d", first)
		return
	}
	p.prefixes[prefix] = p.line
	site, ok := p.siteIndex[fields[1]]
	if !ok {
		p.fault(fields[0], "unknown site %q", fields[1])
		return
	}
	if len(p.file.Blocks) == MaxBlocks {
		if !p.tooMany {
			p.fault(fields[0], "too large: a map has at most %d blocks", MaxBlocks)
		}
		p.tooMany = true
		return
	}
	p.file.Blocks = append(p.file.Blocks, Block{Prefix: prefix, Site: site})
}

func (p *parser) fault(subject, format string, args ...any) {
	p.faults.Faults = append(p.faults.Faults, Fault{Line: p.line, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(line string) {
	line, _, _ = strings.Cut(line, "#")
	fields := strings.Fields(line)
	switch {
	case len(fields) == 0:
	case fields[0] == "site":
		p.site(fields)
	default:
		p.block(fields)
	}
}

func (p *parser) site(fields []string) {
	if len(fields) != siteFields {
		p.fault("", "want site NAME ZONE WEIGHT, got %d fields", len(fields))
		return
	}
	name := fields[1]
	subject := "site " + name
	weight, err := strconv.Atoi(fields[3])
	if err != nil {
		p.fault(subject, "weight %q is not a whole number", fields[3])
		return
	}
	s := Site{Name: name, Weight: weight, Zone: fields[2]}
	if err := s.Validate(); err != nil {
		p.fault(subject, "%v", err)
		return
	}
	if first := p.file.lines[name]; first > 0 {
		p.fault(subject, "already on line %d", first)
		return
	}
	if len(p.file.Sites) == MaxSites {
		p.fault(subject, "too large: a map has at most %d sites", MaxSites)
		return
	}
	p.file.lines[name] = p.line
	p.siteIndex[name] = uint8(len(p.file.Sites))
	p.file.Sites = append(p.file.Sites, s)
}
