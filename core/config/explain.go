package config

import (
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// OriginDefault is the origin of a value that is not set at any level of the tree.
const OriginDefault = "built-in default"

// Explain returns the effective value of each policy field of service in zone with its origin.
func Explain(settings *core.Settings, service, zone string) ([]Value, error) {
	if _, found := settings.Services[service]; !found {
		return nil, errors.NotFoundf("services.%s", service)
	}
	region, found := regionOf(settings, zone)
	if !found {
		return nil, errors.NotFoundf("zone %s in any region", zone)
	}
	policyLevels := levels(settings, service, region, zone)
	values := make([]Value, 0, len(fields))
	for _, f := range fields {
		values = append(values, resolve(f, policyLevels))
	}
	return values, nil
}

// effective returns the resolved policy of service in zone.
func effective(settings *core.Settings, service, region, zone string) core.EffectivePolicy {
	var policy core.EffectivePolicy
	policyLevels := levels(settings, service, region, zone)
	for _, f := range fields {
		*f.into(&policy) = resolve(f, policyLevels).Value
	}
	return policy
}

func regionOf(settings *core.Settings, zone string) (string, bool) {
	for name, region := range settings.Regions {
		if _, found := region.Zones[zone]; found {
			return name, true
		}
	}
	return "", false
}

// resolve returns the value of f at the last level that sets it, or the built-in default.
func resolve(f field, policyLevels []level) Value {
	value := Value{Field: f.name, Origin: OriginDefault, Value: f.builtIn}
	for i := range policyLevels {
		if set := f.from(&policyLevels[i].policy); set != nil {
			value.Origin, value.Value = policyLevels[i].path+"."+f.name, *set
		}
	}
	return value
}
