package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
)

func (a *app) blocksCommand() *ffcli.Command {
	c := a.command("blocks", "COMMAND", "edits and shows the map of client blocks", nil, func(_ context.Context, args []string) error {
		return usageError("unknown command %q; see ebonyctl blocks -h", args[0])
	})
	c.Subcommands = []*ffcli.Command{
		a.blocksApplyCommand(), a.blocksCheckCommand(), a.blocksDiffCommand(), a.blocksFindCommand(), a.blocksGetCommand(),
		a.blocksPruneCommand(),
	}
	return c
}

// loadBlocks reads the block map of a revision; 0 is the newest. The map is empty if the revision has none.
func loadBlocks(ctx context.Context, s core.Store, revision int64) (core.SettingsHead, *blocks.Map, *blocks.Index, error) {
	head, settings, err := loadRevision(ctx, s, revision)
	if err != nil {
		return head, nil, nil, err
	}
	m, index, err := blocks.Read(ctx, s, settings.Blocks)
	return head, m, index, errors.Annotatef(err, "revision %d", head.Revision)
}

// readBlocks parses a block file; errors include its path.
func readBlocks(path string) (*blocks.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	file, err := blocks.ParseFile(f)
	return file, errors.Annotate(err, path)
}
