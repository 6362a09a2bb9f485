package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// Diff returns the values that differ between two trees, ordered by path. Items of lists are identified in paths by their
// content (name, service, from and to, or the value itself) instead of their position.
func Diff(old, changed core.Settings) ([]Difference, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(changed)
	if err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			differences = append(differences, Difference{Path: path, Old: before[path], New: after[path]})
		}
	}
	return differences, nil
}

// flatten maps the path of each leaf of the tree to its JSON.
func flatten(settings core.Settings) (map[string]string, error) {
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Annotate(err, "encode settings")
	}
	var tree any
	if err := json.Unmarshal(content, &tree); err != nil {
		return nil, errors.Annotate(err, "decode settings")
	}
	leaves := map[string]string{}
	flattenValue(leaves, "", tree)
	return leaves, nil
}

func flattenValue(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		if len(v) == 0 && path != "" {
			leaves[path] = "{}"
		}
		for name, member := range v {
			flattenValue(leaves, join(path, name), member)
		}
	case []any:
		for _, item := range v {
			flattenValue(leaves, path+"["+identity(item)+"]", item)
		}
	case float64:
		leaves[path] = strconv.FormatFloat(v, 'f', -1, 64)
	default:
		leaves[path] = fmt.Sprintf("%q", fmt.Sprint(v))
	}
}

// identity returns the name of a list item in paths.
func identity(item any) string {
	members, isObject := item.(map[string]any)
	if !isObject {
		return fmt.Sprint(item)
	}
	var parts []string
	for _, name := range []string{"name", "service", "from", "to"} {
		if part, found := members[name]; found {
			parts = append(parts, fmt.Sprint(part))
		}
	}
	return strings.Join(parts, "/")
}
