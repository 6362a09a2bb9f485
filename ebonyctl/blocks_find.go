package main

import (
	"context"
	"net/netip"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) blocksFindCommand() *ffcli.Command {
	var revision int64
	return a.command("blocks find", "ADDRESS", "shows the block and the site of a client address", a.registerRevisionFlags(&revision), func(ctx context.Context, args []string) error {
		client, err := netip.ParseAddr(args[0])
		if err != nil {
			return usageError("ADDRESS: %v", err)
		}
		head, m, index, err := loadBlocks(ctx, a.readOnlyStore(), revision)
		if err != nil {
			return err
		}
		block, ok := m.Find(client)
		if !ok {
			return errors.NotFoundf("block of %v in revision %d", client, head.Revision)
		}
		part := index.FindPart(block.Prefix.Addr())
		site := m.Sites[block.Site]
		a.printLine("%v is in %v: site %s, zone %s, weight %d", client, block.Prefix, site.Name, site.Zone, site.Weight)
		a.printLine("part %d of %d, %s, revision %d", part+1, len(index.Parts), index.Parts[part].Key(), head.Revision)
		return nil
	})
}
