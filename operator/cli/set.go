package cli

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

func (a *App) setCommand() *cobra.Command {
	var unset bool
	c := &cobra.Command{
		Use:   "set SECTION KEY VALUE",
		Short: "Set one key of the tree, or remove it with --unset",
		Long: `Set one key of the tree, or remove it with --unset. A section that is not there
yet is added. Edits of other keys that come first are merged.`,
		Example: `  springweirctl config set 'pool language' max-away 2
  springweirctl config set --unset 'pool language zone a' max-away`,
		Args: cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			change, err := parseChange(args, unset)
			if err != nil {
				return err
			}
			base, err := a.client().GetConfig(cmd.Context(), 0)
			if err != nil {
				return err
			}
			text, err := settings.Apply(base.Text, []settings.Change{change})
			if err != nil {
				return err
			}
			note := "set " + strings.Join(args, " ")
			if unset {
				note = "unset " + strings.Join(args, " ")
			}
			return a.commitIfChanged(cmd, edit{base: base, text: text, note: note, onConflict: mergeDisjoint})
		},
	}
	c.Flags().BoolVar(&unset, "unset", false, "remove the key")
	a.changeFlags(c)
	return c
}

func parseChange(args []string, unset bool) (settings.Change, error) {
	section, err := parseSection(args[0])
	if err != nil {
		return settings.Change{}, err
	}
	if unset != (len(args) == 2) {
		return settings.Change{}, &UsageError{Text: "want a value, or --unset without one"}
	}
	change := settings.Change{Section: section, Key: args[1]}
	if !unset {
		change.New = &args[2]
	}
	return change, nil
}

// commitIfChanged commits the edit. If the text equals the base, it waits for
// the base version instead, so that repeating a command is idempotent.
func (a *App) commitIfChanged(cmd *cobra.Command, e edit) error {
	if !bytes.Equal(e.base.Text, e.text) {
		return a.commit(cmd.Context(), e)
	}
	fmt.Fprintln(a.Err, "nothing to change")
	client := a.client()
	state, err := client.ConfigStatus(cmd.Context(), e.base.Version)
	if err != nil || state.Version == 0 {
		return err
	}
	return a.waitAndPrint(cmd.Context(), client, state)
}

func (a *App) putCommand() *cobra.Command {
	var base uint64
	var merge bool
	c := &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the tree by a file that was made from a known version",
		Long: `Replace the tree by a file that was made from a known version. When another edit
came first, the command fails with exit code 3, or merges with --merge where the
two touch different keys.`,
		Example: "  springweirctl config put --base 41 --merge tree.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return &UsageError{Text: "--base: want the version that the file was made from (0 for the first)"}
			}
			text, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			if _, err := settings.ParseTree(args[0], text); err != nil {
				return err
			}
			from, err := a.baseVersion(cmd.Context(), base)
			if err != nil {
				return err
			}
			e := edit{base: from, text: text, note: "put " + args[0], onConflict: rejectConflict}
			if merge {
				e.onConflict = mergeDisjoint
			}
			return a.commit(cmd.Context(), e)
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "version that the file was made from")
	c.Flags().BoolVar(&merge, "merge", false, "merge with edits of other keys that came first")
	a.changeFlags(c)
	return c
}

// baseVersion reads a version by its number. Zero is the empty tree before the
// first version.
func (a *App) baseVersion(ctx context.Context, version uint64) (*pb.Config, error) {
	if version == 0 {
		return &pb.Config{}, nil
	}
	return a.client().GetConfig(ctx, version)
}
