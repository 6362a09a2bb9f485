package main

import (
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/entry/agent"
	"ebonyrouter.dev/entry/lease"
)

var _ agent.Adopter = (*adopter)(nil)

// adopter passes documents from the agent to the lease holder and the settings holder.
type adopter struct {
	holder   *lease.Holder
	settings *config.Holder
}

// AdoptOwnership implements agent.Adopter.AdoptOwnership.
func (a *adopter) AdoptOwnership(ownership core.Ownership) {
	a.holder.SetOwnership(ownership)
}

// AdoptSettings implements agent.Adopter.AdoptSettings.
func (a *adopter) AdoptSettings(update core.SettingsUpdate) error {
	snapshot, err := config.Compile(update)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(a.settings.Set(snapshot))
}
