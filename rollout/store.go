package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/table"
)

// InlineLimit is the largest compressed document stored in the table, in bytes. Larger ones are
// stored in the object store.
const InlineLimit = 16 << 10

// Store is the linear history of configurations in the table service.
//
// Invariant: the row of a version is written once, in the transaction that moves the head to
// it, and never again until Pruner deletes it. So the history shows which write created a
// version for as long as it keeps that version.
type Store struct {
	rows    table.Service
	objects object.Store
}

// NewStore returns the history stored in rows and objects.
func NewStore(rows table.Service, objects object.Store) *Store {
	return &Store{rows: rows, objects: objects}
}

// Edit is a change of the configuration by an operator.
type Edit struct {
	// Base is the version that the operator edited.
	Base Version
	// WriteID is chosen by the operator's tool. Repeating an edit with the same ID is
	// idempotent, even through another VM.
	WriteID string
	Author  string
	Note    string
	Text    []byte
}

// Head returns the newest version, or None if there is none.
func (s *Store) Head(ctx context.Context) (Version, error) {
	rows, err := s.rows.Get(ctx, HeadKey())
	if err != nil {
		return None, eris.Wrap(err, "read head")
	}
	h, err := decodeRow[head](rows[0])
	return h.Version, err
}

// Put commits the edit as the version after its base. The error is *ConflictError if another
// edit was committed first, *MissingVersionError if the history no longer shows which edit was,
// *TooLargeError, or an error of the table or the object store. *table.UnknownError means that
// ctx ended before the outcome of the write was known; the same edit may be put again.
func (s *Store) Put(ctx context.Context, e Edit) (Version, error) {
	if len(e.Text) > MaxText {
		return None, &TooLargeError{Size: len(e.Text), Limit: MaxText}
	}
	entry, err := s.prepare(ctx, e)
	if err != nil {
		return None, err
	}
	rows, err := s.rows.Get(ctx, HeadKey(), VersionKey(entry.Version))
	if err != nil {
		return None, eris.Wrap(err, "read head")
	}
	h, err := decodeRow[head](rows[0])
	if err != nil {
		return None, err
	}
	if h.Version != e.Base {
		return s.resolveOutcome(ctx, e)
	}
	txn := table.Txn{
		Checks: []table.Check{
			{Key: HeadKey(), Version: rows[0].Version},
			{Key: VersionKey(entry.Version), Version: table.Absent},
		},
		Writes: []table.Write{
			{Key: HeadKey(), Value: encodeRow(head{Version: entry.Version, WriteID: e.WriteID})},
			{Key: VersionKey(entry.Version), Value: encodeRow(entry)},
		},
	}
	return s.commit(ctx, e, txn)
}

// commit resolves a write whose response was lost. The row of the version is never rewritten,
// so it identifies its write even after the head has moved on.
func (s *Store) commit(ctx context.Context, e Edit, txn table.Txn) (Version, error) {
	_, err := table.CommitAndResolve(ctx, s.rows, txn, func(row table.Row) bool {
		entry, err := decodeRow[Entry](row)
		return err == nil && row.Key == VersionKey(e.Base+1) && entry.WriteID == e.WriteID
	})
	var conflict *table.ConflictError
	var superseded *table.SupersededError
	switch {
	case err == nil:
		return e.Base + 1, nil
	case errors.As(err, &superseded), errors.As(err, &conflict):
		return s.resolveOutcome(ctx, e)
	default:
		return None, eris.Wrap(err, "commit configuration")
	}
}

// resolveOutcome reads the version that the edit would have created, and returns it if this
// edit created it.
func (s *Store) resolveOutcome(ctx context.Context, e Edit) (Version, error) {
	existing, err := s.Entry(ctx, e.Base+1)
	var missing *MissingVersionError
	if err != nil && !errors.As(err, &missing) {
		return None, eris.Wrap(&table.UnknownError{Cause: err}, "settle configuration write")
	}
	if err == nil && existing.WriteID == e.WriteID {
		return existing.Version, nil
	}
	newest, err := s.Head(ctx)
	if err != nil {
		return None, err
	}
	if missing != nil && e.Base < newest {
		// Pruned since, so the row can no longer show which write created it.
		return None, missing
	}
	newestEntry, err := s.Entry(ctx, newest)
	if err != nil && newest != None {
		return None, err
	}
	return None, &ConflictError{Base: e.Base, Head: newestEntry}
}

// prepare builds the row of the new version. It stores a long text first, because a row must
// never name a missing object.
func (s *Store) prepare(ctx context.Context, e Edit) (Entry, error) {
	doc := NewDocument(e.Base+1, e.Text)
	entry := Entry{
		Version: doc.Version, WriteID: e.WriteID, Author: e.Author, Note: e.Note,
		Written: time.Now().Unix(), Digest: doc.Digest[:], Size: len(e.Text),
	}
	body := compress(e.Text)
	if len(body) <= InlineLimit {
		entry.Text = body
		return entry, nil
	}
	// The object name contains the version, so no other version uses the object and both can be
	// deleted together.
	entry.Object = fmt.Sprintf("config/%d-%x", doc.Version, doc.Digest)
	if err := s.objects.Put(ctx, entry.Object, body); err != nil {
		return Entry{}, eris.Wrap(err, "store configuration text")
	}
	return entry, nil
}

// Entry returns a version's entry. The error is *MissingVersionError or the table's.
func (s *Store) Entry(ctx context.Context, v Version) (Entry, error) {
	rows, err := s.rows.Get(ctx, VersionKey(v))
	if err != nil {
		return Entry{}, eris.Wrap(err, "read configuration")
	}
	if rows[0].Version == table.Absent {
		return Entry{}, &MissingVersionError{Version: v}
	}
	return decodeRow[Entry](rows[0])
}

// Load reads a version with its text, checked against its digest.
func (s *Store) Load(ctx context.Context, v Version) (Document, error) {
	entry, err := s.Entry(ctx, v)
	if err != nil {
		return Document{}, err
	}
	body := entry.Text
	if entry.Object != "" {
		body, err = s.objects.Get(ctx, entry.Object)
	}
	if err != nil {
		return Document{}, eris.Wrap(err, "read configuration text")
	}
	text, err := decompress(body)
	if err != nil {
		return Document{}, err
	}
	return entry.document(text)
}

// History lists up to limit versions after the given one, oldest first,
// without their texts.
func (s *Store) History(ctx context.Context, after Version, limit int) ([]Entry, error) {
	rows, err := s.rows.Scan(ctx, Table, versionPrefix, VersionKey(after).Row, limit)
	if err != nil {
		return nil, eris.Wrap(err, "read history")
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeRow[Entry](row)
		if err != nil {
			return nil, err
		}
		entry.Text = nil
		entries = append(entries, entry)
	}
	return entries, nil
}
