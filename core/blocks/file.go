package blocks

import (
	"bufio"
	"fmt"
	"io"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// MaxBlocks is the largest number of blocks in a map. The design size is 640,000. A lookup table of MaxBlocks blocks takes
// at most 18 MB, below the limit of 24 MB for the table of an entry process.
const MaxBlocks = 1 << 20

// File is a parsed block file.
type File struct {
	Map
	// siteLines holds the line number of each site by name.
	siteLines map[string]int
}

// ParseFile reads a block file. A line is "site NAME ZONE WEIGHT", which defines a site, or "PREFIX NAME", which assigns a
// prefix to a site that an earlier line defines. Empty lines and text after # are ignored. If the content is invalid, the
// error is a *FaultsError with all faults.
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

// CheckZones returns a *FaultsError that lists each site whose availability zone is not in the settings.
func (f *File) CheckZones(settings *core.Settings) error {
	regions := regionByZone(settings)
	var faults FaultsError
	for _, s := range f.Sites {
		if _, ok := regions[s.Zone]; !ok {
			text := fmt.Sprintf("unknown availability zone %q", s.Zone)
			faults.Faults = append(faults.Faults, Fault{Line: f.siteLines[s.Name], Subject: "site " + s.Name, Text: text})
		}
	}
	if len(faults.Faults) > 0 {
		return &faults
	}
	return nil
}

// WriteFile writes a map in the format that ParseFile reads.
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
