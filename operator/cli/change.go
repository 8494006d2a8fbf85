package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/operator"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// maxNoteBytes limits the length of a note. Controllers reject notes longer
// than 400 bytes.
const maxNoteBytes = 200

// maxMergeAttempts limits how often an edit is merged with edits committed
// before it.
const maxMergeAttempts = 5

// edit is a change of the tree that is not yet committed.
type edit struct {
	base *pb.Config
	text []byte
	note string
	// onConflict is called when another edit was committed first. It returns
	// the text to commit on top of the newest version.
	onConflict func(base, mine []byte, newest *pb.Config) ([]byte, error)
}

// commit validates and stores the text, resolving conflicts by onConflict. It
// then waits for the new version and prints its state.
func (a *App) commit(ctx context.Context, e edit) error {
	client := a.client()
	var err error
	for range maxMergeAttempts {
		if _, err = settings.ParseTree("tree", e.text); err != nil {
			return err
		}
		var state *pb.ConfigState
		state, err = client.PutConfig(ctx, a.putRequest(e))
		var conflict *operator.ConflictError
		if err == nil {
			return a.waitAndPrint(ctx, client, state)
		}
		if !errors.As(err, &conflict) {
			return err
		}
		newest, loadErr := client.GetConfig(ctx, 0)
		if loadErr != nil {
			return loadErr
		}
		if e.text, err = e.onConflict(e.base.Text, e.text, newest); err != nil {
			return err
		}
		e.base = newest
	}
	return err
}

// putRequest returns the request for an edit with a new write ID, because the
// same text on another base is a different edit.
func (a *App) putRequest(e edit) *pb.PutConfigRequest {
	note := strings.ToValidUTF8(e.note[:min(len(e.note), maxNoteBytes)], "")
	return &pb.PutConfigRequest{Base: e.base.Version, Text: e.text, Author: a.author, Note: note, WriteId: a.NewID()}
}

// waitAndPrint waits until a committed version is accepted and prints its
// state.
func (a *App) waitAndPrint(ctx context.Context, client *operator.Client, state *pb.ConfigState) error {
	state, err := a.waitAccepted(ctx, client, state)
	if err != nil && a.output == outputText {
		return err
	}
	printErr := a.print(state, func(w io.Writer) { fmt.Fprintln(w, describeState(state)) })
	return errors.Join(err, printErr)
}

// waitAccepted waits until a version is accepted and returns its state. After
// the timeout it returns a *operator.PendingError.
func (a *App) waitAccepted(ctx context.Context, client *operator.Client, state *pb.ConfigState) (*pb.ConfigState, error) {
	if state.Accepted {
		return state, nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.wait)
	defer cancel()
	return client.WaitAccepted(ctx, state)
}

// mergeDisjoint merges two edits that change different keys. If they change the
// same key, it returns a *settings.ConflictError.
func mergeDisjoint(base, mine []byte, newest *pb.Config) ([]byte, error) {
	merged, err := settings.Merge(base, mine, newest.Text)
	if err != nil {
		return nil, eris.Wrapf(err, "version %d by %s came first", newest.Version, newest.Author)
	}
	return merged.Text, nil
}

// StaleError is an edit based on a version that is no longer the newest.
type StaleError struct {
	Newest *pb.Config
	// Changes are the changes committed since the version that was edited.
	Changes []settings.Change
}

// Error implements error.
func (e *StaleError) Error() string {
	lines := []string{fmt.Sprintf("version %d by %s came first and changed", e.Newest.Version, e.Newest.Author)}
	for _, c := range e.Changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n  ")
}

// Reason implements failure.Coded.
func (e *StaleError) Reason() failure.Reason { return failure.ConfigConflict }

// rejectConflict returns a *StaleError and never merges.
func rejectConflict(base, _ []byte, newest *pb.Config) ([]byte, error) {
	changes, err := settings.Diff(base, newest.Text)
	if err != nil {
		return nil, err
	}
	return nil, &StaleError{Newest: newest, Changes: changes}
}
