package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// ErrDigestMismatch means that the content of a revision does not match the digest in its head.
const ErrDigestMismatch = errors.ConstError("settings content does not match its digest")

// Compile checks the digest of an update, decodes its content and resolves the policies.
func Compile(update core.SettingsUpdate) (*core.Snapshot, error) {
	if digest := Digest(update.Content); digest != update.Head.Digest {
		return nil, errors.Annotatef(ErrDigestMismatch, "revision %d: got %s, want %s", update.Head.Revision, digest, update.Head.Digest)
	}
	settings, err := Decode(update.Content)
	if err != nil {
		return nil, errors.Annotatef(err, "revision %d", update.Head.Revision)
	}
	return newSnapshot(update.Head, settings), nil
}

// BuildValid checks a settings tree that was not decoded from JSON and resolves the policies. It leaves out invalid services, routes
// and customers, unknown home regions, and keys that are malformed or belong to several customers, and returns their problems. Its
// error is a *ProblemsError with the problems of other parts. The maps and lists of the tree may be modified.
func BuildValid(head core.SettingsHead, settings core.Settings) (*core.Snapshot, []Problem, error) {
	var problems ProblemsError
	omitted := []Problem{}
	fill(&settings)
	checkParts(&settings, &problems, &omitted)
	if err := problems.result(); err != nil {
		return nil, omitted, errors.Annotatef(err, "revision %d", head.Revision)
	}
	return newSnapshot(head, settings), omitted, nil
}

// newSnapshot returns the snapshot of a checked settings tree.
func newSnapshot(head core.SettingsHead, settings core.Settings) *core.Snapshot {
	s := &core.Snapshot{
		Customers: core.NewCustomerPlan(settings.Customers),
		Head:      head,
		Settings:  settings,
		Policies:  map[string]map[string]core.EffectivePolicy{},
		RegionOf:  map[string]string{},
		Routes:    core.NewRoutePlan(settings.Routes),
		ServiceOf: map[string]string{},
	}
	for region, r := range settings.Regions {
		for zone := range r.Zones {
			s.RegionOf[zone] = region
		}
	}
	for service, v := range settings.Services {
		s.Policies[service] = map[string]core.EffectivePolicy{}
		for zone, region := range s.RegionOf {
			s.Policies[service][zone] = effective(&settings, service, region, zone)
		}
		for _, hostName := range v.HostNames {
			s.ServiceOf[hostName] = service
		}
	}
	return s
}

// Digest returns the hexadecimal SHA-256 of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
