package e2e_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

var (
	fencedBlock  = regexp.MustCompile("(?ms)^```[a-z]*\n(.*?)^```$")
	markdownLink = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	schemeOfLink = regexp.MustCompile(`^[a-z]+:`)
)

// Guards against links to pages and files that were moved, renamed or never written.
func TestLinks(t *testing.T) {
	links := 0
	assert.NilError(t, filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		for _, link := range markdownLink.FindAllStringSubmatch(fencedBlock.ReplaceAllString(string(text), ""), -1) {
			if schemeOfLink.MatchString(link[1]) {
				continue
			}
			links++
			if _, missing := os.Stat(filepath.Join(filepath.Dir(path), link[1])); missing != nil {
				t.Errorf("%s: link %s: %v", path, link[1], missing)
			}
		}
		return err
	}))
	assert.Assert(t, links > 0, "no link was found")
}

// command is one command line of a page with the output that the page shows.
type command struct {
	line, output string
}

// commands returns the command lines in the fenced blocks of a page that edit files or run ebonyctl.
func commands(page string) []command {
	var all []command
	for _, block := range fencedBlock.FindAllStringSubmatch(page, -1) {
		for _, part := range strings.Split("\n"+block[1], "\n$ ")[1:] {
			line, output, _ := strings.Cut(part, "\n")
			if strings.HasPrefix(line, "ebonyctl ") || strings.HasPrefix(line, "sed ") {
				all = append(all, command{line: line, output: output})
			}
		}
	}
	return all
}

// matches reports whether the output of a command is the one of the page, in which "..." stands for any text.
func (c command) matches(output string) error {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimSpace(c.output)), `\.\.\.`, ".*")
	if !regexp.MustCompile("(?s)^" + pattern + "$").MatchString(strings.TrimSpace(output)) {
		return fmt.Errorf("%s printed\n%s\ninstead of\n%s", c.line, output, c.output)
	}
	return nil
}

// Guards against commands and output in the operators' page that do not work as written.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, err = fleet.Build(string(binaries), "ebonyctl")
	assert.NilError(t, err)
	d := fleet.New(t, binaries, fleet.Spec{HostsPerZone: 1, Regions: []string{"luzon"}, Zones: 2})
	d.PlaceHosts()
	for _, h := range d.Hosts {
		h.Name = h.Zone + "-1"
		d.StartHost(h)
	}
	dir := t.TempDir()
	deployments, err := filepath.Abs("../deployments")
	assert.NilError(t, err)
	assert.NilError(t, os.Symlink(deployments, filepath.Join(dir, "deployments")))
	t.Setenv("PATH", string(binaries)+":"+os.Getenv("PATH"))
	t.Setenv("EBONYCTL_STORE", d.Store.Address)
	t.Setenv("EBONYCTL_ADMIN", d.Hosts[0].SteerAdmin)
	t.Setenv("EBONYCTL_TOKEN", fleet.Token)
	t.Setenv("ENTRY_ADMIN", d.Hosts[0].EntryAdmin)
	all := commands(string(page))
	assert.Assert(t, len(all) > 0, "no command was found")
	for _, c := range all {
		c.run(t, dir)
	}
}

// run runs a command once, or until the fleet has taken over a change if it only reads the state of the fleet.
func (c command) run(t *testing.T, dir string) {
	t.Helper()
	once := func() error {
		shell := exec.Command("bash", "-c", c.line)
		shell.Dir = dir
		output, err := shell.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", c.line, err, output)
		}
		return c.matches(string(output))
	}
	if strings.HasPrefix(c.line, "ebonyctl status") || strings.HasPrefix(c.line, "ebonyctl explain") {
		fleet.Eventually(t, fleet.ReadyTimeout, once)
		return
	}
	assert.NilError(t, once())
}
