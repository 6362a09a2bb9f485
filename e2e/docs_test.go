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
	linkScheme   = regexp.MustCompile(`^[a-z]+:`)
)

// Guards against links in pages to files that were moved, renamed or never written.
func TestLinks(t *testing.T) {
	links := 0
	assert.NilError(t, filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		for _, link := range markdownLink.FindAllStringSubmatch(fencedBlock.ReplaceAllString(string(text), ""), -1) {
			if linkScheme.MatchString(link[1]) {
				continue
			}
			links++
			if _, missing := os.Stat(filepath.Join(filepath.Dir(path), link[1])); missing != nil {
				t.Errorf("%s: link %s: %v", path, link[1], missing)
			}
		}
		return err
	}))
	assert.Assert(t, links > 0, "found no link in any page")
}

// command is a command line of a page and the output that the page shows for it.
type command struct {
	line, output string
}

// commands returns the sed and ebonyctl command lines in the fenced blocks of a page.
func commands(page string) []command {
	var found []command
	for _, block := range fencedBlock.FindAllStringSubmatch(page, -1) {
		for _, part := range strings.Split("\n"+block[1], "\n$ ")[1:] {
			line, output, _ := strings.Cut(part, "\n")
			if strings.HasPrefix(line, "ebonyctl ") || strings.HasPrefix(line, "sed ") {
				found = append(found, command{line: line, output: output})
			}
		}
	}
	return found
}

// checkOutput returns an error unless output equals the output on the page, in which "..." matches any text.
func (c command) checkOutput(output string) error {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimSpace(c.output)), `\.\.\.`, ".*")
	if !regexp.MustCompile("(?s)^" + pattern + "$").MatchString(strings.TrimSpace(output)) {
		return fmt.Errorf("%s printed\n%s\nwant\n%s", c.line, output, c.output)
	}
	return nil
}

// Guards against commands in the operators' page that do not work as written or print other output than the page shows.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, err = fleet.Build(string(binaries), "ebonyctl")
	assert.NilError(t, err)
	d := fleet.New(t, binaries, fleet.Spec{HostsPerZone: 1, Regions: []string{"luzon"}, Zones: 2})
	d.AddHosts()
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
	found := commands(string(page))
	assert.Assert(t, len(found) > 0, "found no command in the page")
	for _, c := range found {
		c.run(t, dir)
	}
}

// run runs a command and checks its output. It repeats a status or explain command until the output matches, because a change
// of the settings is not in force at all hosts immediately.
func (c command) run(t *testing.T, dir string) {
	t.Helper()
	runOnce := func() error {
		shell := exec.Command("bash", "-c", c.line)
		shell.Dir = dir
		output, err := shell.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", c.line, err, output)
		}
		return c.checkOutput(string(output))
	}
	if strings.HasPrefix(c.line, "ebonyctl status") || strings.HasPrefix(c.line, "ebonyctl explain") {
		fleet.Eventually(t, fleet.ReadyTimeout, runOnce)
		return
	}
	assert.NilError(t, runOnce())
}
