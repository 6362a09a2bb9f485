package owner

import "ebonyrouter.dev/core"

// tally counts the objects of each member, per group and in total.
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

// add counts one more object of host.
func (t *tally) add(host, object string) {
	if t.groups[host] == nil {
		t.groups[host] = map[string]int{}
	}
	t.groups[host][groupOf(object)]++
	t.total[host]++
}

// inGroup returns how many objects host owns in the group of object.
func (t *tally) inGroup(host, object string) int {
	return t.groups[host][groupOf(object)]
}
