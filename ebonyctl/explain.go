package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"net/url"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) explainCommand() *ffcli.Command {
	return a.command("explain", "SERVICE CLIENT", "shows where a client's requests go", a.registerAdminFlags, func(ctx context.Context, args []string) error {
		if _, err := netip.ParseAddr(args[1]); err != nil {
			return usageError("CLIENT: %v", err)
		}
		content, err := a.getAdmin(ctx, "/v1/explain", url.Values{"service": {args[0]}, "client": {args[1]}})
		if err != nil {
			return err
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, bytes.TrimSpace(content), "", "  "); err != nil {
			return errors.Annotate(err, "decode /v1/explain")
		}
		a.printLine("%s", indented.String())
		return nil
	})
}
