package blocks

import (
	"bufio"
	"fmt"
	"io"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// MaxBlocks is the largest number of blocks of a map. The design size is 640,000; a table of this many takes at most
// 18 MB, below the 24 MB that an entry process may use for it.
const MaxBlocks = 1 << 20

// File is a block file: its map, and the line of each site by name.
type File struct {
	Map
	lines map[string]int
}

// ParseFile reads a block file. A line is empty, a comment that starts with #, "site NAME ZONE WEIGHT", or "PREFIX NAME"
// with the name of a site that an earlier line defines. The error is a *FaultsError with every fault.
func ParseFile(r io.Reader) (*File, error) {
	p := newParser()
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.line++
		p.parse(scanner.Text())
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		p.line++
		p.fault("", "too large: a line has at most %d bytes", bufio.MaxScanTokenSize-1)
	case err != nil:
		return nil, errors.Annotatef(err, "line %d", p.line+1)
	}
	return p.finish()
}

// CheckZones returns a *FaultsError that names each site whose zone is not in the settings.
func (f *File) CheckZones(settings *core.Settings) error {
	known := regionsOf(settings)
	var faults FaultsError
	for _, s := range f.Sites {
		if _, ok := known[s.Zone]; !ok {
			text := fmt.Sprintf("unknown availability zone %q", s.Zone)
			faults.Faults = append(faults.Faults, Fault{Line: f.lines[s.Name], Subject: "site " + s.Name, Text: text})
		}
	}
	if len(faults.Faults) > 0 {
		return &faults
	}
	return nil
}

// WriteFile writes a map as a block file.
func WriteFile(w io.Writer, m *Map) error {
	out := bufio.NewWriter(w)
	for _, s := range m.Sites {
		_, _ = fmt.Fprintf(out, "site %s %s %d\n", s.Name, s.Zone, s.Weight)
	}
	for _, b := range m.Blocks {
		_, _ = fmt.Fprintf(out, "%s %s\n", b.Prefix, m.Sites[b.Site].Name)
	}
	return errors.Annotate(out.Flush(), "write block file")
}
