package main

import (
	"context"
	"net/netip"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) blocksFindCommand() *ffcli.Command {
	var revision int64
	return a.command("blocks find", "ADDRESS", "shows the block and site of a client", a.registerRevision(&revision), func(ctx context.Context, args []string) error {
		client, err := netip.ParseAddr(args[0])
		if err != nil {
			return usage("ADDRESS: %v", err)
		}
		head, m, index, err := loadBlocks(ctx, a.readable(), revision)
		if err != nil {
			return err
		}
		block, ok := m.Find(client)
		if !ok {
			return errors.NotFoundf("block of %v in revision %d", client, head.Revision)
		}
		part := index.FindPart(block.Prefix.Addr())
		site := m.Sites[block.Site]
		a.print("%v is in %v: site %s, zone %s, weight %d", client, block.Prefix, site.Name, site.Zone, site.Weight)
		a.print("part %d of %d, %s, revision %d", part+1, len(index.Parts), index.Parts[part].Key(), head.Revision)
		return nil
	})
}
