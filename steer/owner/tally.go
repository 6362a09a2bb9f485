package owner

import "ebonyrouter.dev/core"

// tally counts the objects of each member, per group and in all.
type tally struct {
	groups map[string]map[string]int
	// sizes counts the objects of each group, with and without an owner.
	sizes map[string]int
	total map[string]int
}

func newTally(document core.Ownership) *tally {
	t := &tally{groups: map[string]map[string]int{}, sizes: map[string]int{}, total: map[string]int{}}
	for name, o := range document.Objects {
		t.sizes[groupOf(name)]++
		if o.Host != "" {
			t.add(o.Host, name)
		}
	}
	return t
}

// add counts one object of host.
func (t *tally) add(host, object string) {
	if t.groups[host] == nil {
		t.groups[host] = map[string]int{}
	}
	t.groups[host][groupOf(object)]++
	t.total[host]++
}

// group returns how many objects of the object's group host owns.
func (t *tally) group(host, object string) int {
	return t.groups[host][groupOf(object)]
}
