package config

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// MaxBytes is the largest settings tree, in bytes of JSON.
const MaxBytes = 16 << 20

// Decode parses and checks a settings tree. Its error is a *ProblemsError that lists every problem with its path.
func Decode(content []byte) (core.Settings, error) {
	var settings core.Settings
	var problems ProblemsError
	if len(content) > MaxBytes {
		problems.add("", "the tree has %d bytes, more than %d", len(content), MaxBytes)
		return settings, problems.result()
	}
	var raw json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		problems.add("", "invalid JSON: %v", err)
		return settings, problems.result()
	}
	c := typeChecker{decoder: json.NewDecoder(bytes.NewReader(content)), problems: &problems}
	if err := c.value("", reflect.TypeFor[core.Settings]()); err != nil && !errors.Is(err, io.EOF) {
		problems.add("", "invalid JSON: %v", err)
		return settings, problems.result()
	}
	// Values of a wrong type are already reported; the others are decoded so that they are checked too.
	var wrongType *json.UnmarshalTypeError
	if err := json.Unmarshal(content, &settings); err != nil && !errors.As(err, &wrongType) {
		problems.add("", "invalid JSON: %v", err)
	}
	fill(&settings)
	check(&settings, &problems)
	if err := problems.result(); err != nil {
		return core.Settings{}, err
	}
	return settings, nil
}

// Encode returns the canonical JSON of a settings tree, or a *ProblemsError if the tree is invalid.
func Encode(settings core.Settings) ([]byte, error) {
	fill(&settings)
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "encode settings")
	}
	content = append(content, '\n')
	if _, err := Decode(content); err != nil {
		return nil, err
	}
	return content, nil
}

// fill replaces absent maps and lists by empty ones, because an absent one is encoded as null, which Decode rejects.
func fill(settings *core.Settings) {
	if settings.Services == nil {
		settings.Services = map[string]core.ServiceSettings{}
	}
	for name, service := range settings.Services {
		if service.Targets == nil {
			service.Targets = map[string]core.TargetSettings{}
			settings.Services[name] = service
		}
	}
	for i := range settings.Customers {
		if settings.Customers[i].KeyDigests == nil {
			settings.Customers[i].KeyDigests = []string{}
		}
	}
}
