package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/springweir/springweir/failure"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// EditorError reports that the editor, or access to its temporary file, failed.
type EditorError struct{ Cause error }

// Error implements error.
func (e *EditorError) Error() string { return fmt.Sprintf("editor: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *EditorError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *EditorError) Unwrap() error { return e.Cause }

// AbandonedError is an edit that was not committed. Its text is kept in File.
type AbandonedError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *AbandonedError) Error() string {
	return fmt.Sprintf("nothing was changed; the edited text is kept in %s", e.File)
}

// Reason implements failure.Coded with the reason of the cause.
func (e *AbandonedError) Reason() failure.Reason { return failure.ReasonOf(e.Cause) }

// Unwrap returns the cause.
func (e *AbandonedError) Unwrap() error { return e.Cause }

const fallbackEditor = "vi"

// runEditor opens a file in $VISUAL or $EDITOR, which may include arguments.
func runEditor(ctx context.Context, file string) error {
	words := strings.Fields(os.Getenv("VISUAL"))
	if len(words) == 0 {
		words = strings.Fields(os.Getenv("EDITOR"))
	}
	if len(words) == 0 {
		words = []string{fallbackEditor}
	}
	editor := exec.CommandContext(ctx, words[0], append(words[1:], file)...)
	editor.Stdin, editor.Stdout, editor.Stderr = os.Stdin, os.Stdout, os.Stderr
	if err := editor.Run(); err != nil {
		return &EditorError{Cause: err}
	}
	return nil
}

func (a *App) editCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "edit",
		Short: "Edit the tree in $VISUAL or $EDITOR",
		Long: `Edit the tree in $VISUAL or $EDITOR. The text is checked when the editor closes.
When another edit came first, the keys that it changed are shown and a merge is
offered; where both changed one key, you choose. A text that is not committed is
kept in a file.`,
		Example: "  EDITOR=nano springweirctl config edit",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			base, err := a.client().GetConfig(cmd.Context(), 0)
			if err != nil {
				return err
			}
			return a.editFrom(cmd, base)
		},
	}
	a.changeFlags(c)
	return c
}

// editFrom runs the editor on base and commits the result. The temporary file
// is removed only if no text can be lost: on success or while the committed
// version is pending.
func (a *App) editFrom(cmd *cobra.Command, base *pb.Config) error {
	file, err := writeTemp(base.Text)
	if err != nil {
		return err
	}
	text, err := a.editUntilValid(cmd.Context(), file)
	if err == nil {
		err = a.commitIfChanged(cmd, edit{base: base, text: text, note: "edit", onConflict: a.mergeInteractively})
	}
	// A pending version is already committed, so the file is no longer needed.
	if err == nil || failure.ReasonOf(err) == failure.ConfigPending {
		return errors.Join(err, removeTemp(file))
	}
	fmt.Fprintf(a.Err, "%v\n", err)
	return &AbandonedError{File: file, Cause: err}
}

func (a *App) editUntilValid(ctx context.Context, file string) ([]byte, error) {
	for {
		if err := a.Edit(ctx, file); err != nil {
			return nil, err
		}
		text, err := a.readFile(file)
		if err != nil {
			return nil, err
		}
		if _, err = settings.ParseTree(file, text); err == nil {
			return text, nil
		}
		fmt.Fprintf(a.Err, "%v\n", err)
		if a.prompt("Edit again? [Y/n]", "y") != "y" {
			return nil, err
		}
	}
}

func writeTemp(text []byte) (string, error) {
	file, err := os.CreateTemp("", "springweir-*.ini")
	if err != nil {
		return "", &EditorError{Cause: err}
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return "", &EditorError{Cause: err}
	}
	return file.Name(), nil
}

func removeTemp(file string) error {
	if err := os.Remove(file); err != nil {
		return &EditorError{Cause: err}
	}
	return nil
}

// mergeInteractively shows the changes of the other edit, prompts for a side
// where both changed the same key, and asks for confirmation before it returns
// the merged text.
func (a *App) mergeInteractively(base, mine []byte, newest *pb.Config) ([]byte, error) {
	changes, err := settings.Diff(base, newest.Text)
	if err != nil {
		return nil, err
	}
	stale := &StaleError{Newest: newest, Changes: changes}
	fmt.Fprintf(a.Err, "%v\n", stale)
	merged, err := settings.Merge(base, mine, newest.Text)
	var conflict *settings.ConflictError
	if errors.As(err, &conflict) {
		merged, err = a.resolveConflicts(base, mine, newest, conflict)
	}
	if err != nil {
		return nil, err
	}
	remaining, err := settings.Diff(newest.Text, merged.Text)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(a.Err, "Merged, your edit changes")
	for _, c := range remaining {
		fmt.Fprintf(a.Err, "  %v\n", c)
	}
	if a.prompt("Commit this on top? [Y/n]", "y") != "y" {
		return nil, stale
	}
	return merged.Text, nil
}

func (a *App) resolveConflicts(base, mine []byte, newest *pb.Config, conflict *settings.ConflictError) (*settings.Merged, error) {
	keepMine := map[string]bool{}
	for _, c := range conflict.Conflicts {
		switch a.prompt(fmt.Sprintf("%v\nKeep mine or theirs, or quit? [m/t/Q]", c), "q") {
		case "m":
			keepMine[c.String()] = true
		case "t":
		default:
			return nil, conflict
		}
	}
	newBase, newMine, err := settings.Resolve(base, mine, conflict.Conflicts, func(c settings.Conflict) bool { return keepMine[c.String()] })
	if err != nil {
		return nil, eris.Wrap(err, "resolve conflicts")
	}
	return settings.Merge(newBase, newMine, newest.Text)
}
