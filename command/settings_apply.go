package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/settings"
)

// currentRevision returns the revision in effect at a daemon and its parsed tree.
func currentRevision(ctx context.Context, client adminapi.Client) (adminapi.Revision, *settings.Tree, error) {
	var current adminapi.Revision
	if err := client.Get(ctx, adminapi.PathSettingsCurrent, &current); err != nil {
		return current, nil, err
	}
	tree, err := settings.Parse(settings.Source{Name: fmt.Sprintf("settings@%d", current.Number), Data: []byte(current.YAML)})
	return current, tree, err
}

// diffCommand compares files with the current revision.
type diffCommand struct {
	daemonOption
	cli.Output
	filesArgument
}

// diffResult is the output of diffCommand.
type diffResult struct {
	BaseRevision uint64            `json:"base_revision"`
	Changes      []settings.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	desired, err := c.tree()
	if err != nil {
		return err
	}
	current, tree, err := currentRevision(ctx, c.client())
	if err != nil {
		return err
	}
	result := diffResult{current.Number, settings.Diff(tree.Document(), desired.Document())}
	return c.Write(result, func(writer io.Writer) error {
		_, _ = fmt.Fprintf(writer, "against revision %d: %d change(s)\n", result.BaseRevision, len(result.Changes))
		for _, change := range result.Changes {
			_, _ = fmt.Fprintln(writer, change)
		}
		return nil
	})
}

// applyCommand applies files as the next revision.
type applyCommand struct {
	daemonOption
	cli.Output
	BaseRevision uint64        `long:"base-revision" required:"true" description:"revision that the files were diffed against; 0 for the first revision"`
	OperationID  string        `long:"operation-id" description:"id that makes retries idempotent; generated and printed if omitted"`
	Author       string        `long:"author" env:"USER" default:"unknown" description:"author of the change"`
	Wait         time.Duration `long:"wait" description:"maximum wait until the revision is in effect at every running daemon"`
	filesArgument
}

// applyResult is the output of applyCommand.
type applyResult struct {
	Revision    uint64            `json:"revision"`
	OperationID string            `json:"operation_id"`
	InEffect    map[string]uint64 `json:"in_force,omitempty"` // revision by daemon
}

const applyPollInterval = 100 * time.Millisecond

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	tree, err := c.tree()
	if err != nil {
		return err
	}
	text, err := settings.Marshal(tree.Document())
	if err != nil {
		return err
	}
	if c.OperationID == "" {
		c.OperationID = uuid.NewString()
		_, _ = fmt.Fprintf(os.Stderr, "operation id %s\n", c.OperationID)
	}
	var accepted adminapi.Revision
	err = c.client().Post(ctx, adminapi.PathSettingsApply, adminapi.ApplyRequest{
		BaseRevision: c.BaseRevision, OperationID: c.OperationID, Author: c.Author, YAML: string(text)}, &accepted)
	if err != nil {
		return err
	}
	result := applyResult{Revision: accepted.Number, OperationID: c.OperationID}
	waitErr := error(nil)
	if c.Wait > 0 {
		result.InEffect, waitErr = c.waitForRevision(ctx, accepted.Number)
	}
	err = c.Write(result, func(writer io.Writer) error {
		_, _ = fmt.Fprintf(writer, "accepted as revision %d\n", result.Revision)
		for daemon, revision := range result.InEffect {
			_, _ = fmt.Fprintf(writer, "  %s has revision %d in effect\n", daemon, revision)
		}
		return nil
	})
	if waitErr != nil {
		return waitErr
	}
	return err
}

// waitForRevision polls until all running members report a revision. It returns the last
// known revision of each.
func (c *applyCommand) waitForRevision(ctx context.Context, revision uint64) (map[string]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	revisions := map[string]uint64{}
	for {
		var status adminapi.Status
		if err := c.client().Get(ctx, adminapi.PathStatus, &status); err == nil {
			outdated := 0
			for _, member := range status.Members {
				if member.Status != "alive" {
					continue
				}
				revisions[member.ID] = member.SettingsRevision
				if member.SettingsRevision < revision {
					outdated++
				}
			}
			if outdated == 0 {
				return revisions, nil
			}
		}
		select {
		case <-ctx.Done():
			return revisions, failure.New(failure.Unavailable, "run `finchspoke status` to find daemons with an older revision",
				"revision %d is accepted but not yet in effect at every daemon", revision).WithExecution(failure.Completed)
		case <-time.After(applyPollInterval):
		}
	}
}

// historyCommand lists accepted revisions.
type historyCommand struct {
	daemonOption
	cli.Output
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var revisions []adminapi.Revision
	if err := c.client().Get(ctx, adminapi.PathSettingsHistory, &revisions); err != nil {
		return err
	}
	return c.Write(revisions, func(writer io.Writer) error {
		for _, revision := range revisions {
			_, _ = fmt.Fprintf(writer, "%6d  %s  %-20s  %s\n", revision.Number,
				revision.AppliedAt.Format(time.RFC3339), revision.Author, revision.OperationID)
		}
		return nil
	})
}
