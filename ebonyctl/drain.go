package main

import (
	"context"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
)

const drainArguments = "host|target|zone NAME"

func (a *app) drainCommand() *ffcli.Command {
	return a.command("drain", drainArguments, "takes a host, target or zone out of service", a.registerWriteFlags, func(ctx context.Context, args []string) error {
		return a.editDrain(ctx, "drain", args, func(names []string, name string) []string {
			names = append(names, name)
			slices.Sort(names)
			return slices.Compact(names)
		})
	})
}

// drainList returns the list of drained hosts, targets or zones; kind is host, target or zone.
func drainList(settings *core.Settings, kind string) (*[]string, error) {
	switch kind {
	case "host":
		return &settings.Drains.Hosts, nil
	case "target":
		return &settings.Drains.Targets, nil
	case "zone":
		return &settings.Drains.Zones, nil
	}
	return nil, usageError("%q is not host, target or zone", kind)
}

// editDrain applies change to the drain list of the kind args[0] with the name args[1]. It leaves the settings as they
// are if the length of the list stays the same.
func (a *app) editDrain(ctx context.Context, command string, args []string, change func(names []string, name string) []string) error {
	kind, name := args[0], args[1]
	return a.edit(ctx, command+" "+kind+" "+name, func(settings *core.Settings) (bool, error) {
		list, err := drainList(settings, kind)
		if err != nil {
			return false, err
		}
		changed := change(slices.Clone(*list), name)
		if len(changed) == len(*list) {
			return false, nil
		}
		*list = changed
		return true, nil
	})
}
