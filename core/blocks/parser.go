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

// parser builds a File line by line and collects the faults.
type parser struct {
	faults FaultsError
	file   File
	line   int
	// prefixLines holds the line number of each prefix.
	prefixLines map[netip.Prefix]int
	// siteIndexes holds the position of each site by name.
	siteIndexes map[string]uint8
	// tooManyBlocks is set after the first block above MaxBlocks, so that the fault is reported only once.
	tooManyBlocks bool
}

func newParser() *parser {
	return &parser{file: File{siteLines: map[string]int{}}, prefixLines: map[netip.Prefix]int{}, siteIndexes: map[string]uint8{}}
}

// finish returns the file with its blocks sorted, or a *FaultsError.
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

// block parses the line of a block.
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
	if first := p.prefixLines[prefix]; first > 0 {
		p.fault(fields[0], "already on line %d", first)
		return
	}
	p.prefixLines[prefix] = p.line
	site, ok := p.siteIndexes[fields[1]]
	if !ok {
		p.fault(fields[0], "unknown site %q", fields[1])
		return
	}
	if len(p.file.Blocks) == MaxBlocks {
		if !p.tooManyBlocks {
			p.fault(fields[0], "too large: a map has at most %d blocks", MaxBlocks)
		}
		p.tooManyBlocks = true
		return
	}
	p.file.Blocks = append(p.file.Blocks, Block{Prefix: prefix, Site: site})
}

// fault records a fault of the current line.
func (p *parser) fault(subject, format string, args ...any) {
	p.faults.Faults = append(p.faults.Faults, Fault{Line: p.line, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// parse parses the current line.
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

// site parses the line of a site.
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
	if first := p.file.siteLines[name]; first > 0 {
		p.fault(subject, "already on line %d", first)
		return
	}
	if len(p.file.Sites) == MaxSites {
		p.fault(subject, "too large: a map has at most %d sites", MaxSites)
		return
	}
	p.file.siteLines[name] = p.line
	p.siteIndexes[name] = uint8(len(p.file.Sites))
	p.file.Sites = append(p.file.Sites, s)
}
