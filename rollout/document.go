// Package rollout distributes the operators' configuration to every VM and reports when it is
// in effect everywhere.
//
// The history is linear: each version is one row that is never rewritten, and the head moves by
// compare-and-swap. A version is accepted once the confirmer of every availability zone has
// written that all VMs of the zone's roster have it in effect; until then it is pending.
// Package contact prevents VMs that are not covered by such a write from serving. See
// docs/design/config.md.
package rollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/table"
)

// Version is the number of a configuration in the history, starting at 1. Zero means none.
type Version uint64

// None is the version before the first configuration.
const None Version = 0

// Digest is the SHA-256 of a document's text.
type Digest [sha256.Size]byte

// Document is one configuration. It is immutable.
type Document struct {
	Version Version
	Digest  Digest
	Text    []byte
}

// NewDocument returns a document with its digest computed.
func NewDocument(v Version, text []byte) Document {
	return Document{Version: v, Digest: sha256.Sum256(text), Text: text}
}

// Entry describes one version of the history.
type Entry struct {
	Version Version `json:"version"`
	// WriteID identifies the write that created the version.
	WriteID string `json:"write_id"`
	// Author names the operator; Note is the operator's comment.
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Written is the writer's wall-clock time in Unix seconds. It is shown to operators and
	// used by Pruner.
	Written int64  `json:"written"`
	Digest  []byte `json:"digest"`
	// Size is the length of the text in bytes.
	Size int `json:"size"`
	// Text is the compressed document, or empty when Object names it.
	Text []byte `json:"text,omitempty"`
	// Object is the name of a long compressed document in the object store.
	Object string `json:"object,omitempty"`
}

// head is the row that points to the newest version.
type head struct {
	Version Version `json:"version"`
	WriteID string  `json:"write_id"`
}

// ack is the row in which a zone's confirmer records the version in effect.
type ack struct {
	// Version is in effect on all VMs of the zone's roster.
	Version Version `json:"version"`
	WriteID string  `json:"write_id"`
	// Pending is a newer version being distributed, and Missing the VMs without it.
	Pending Version  `json:"pending,omitempty"`
	Missing []string `json:"missing,omitempty"`
}

// Table is the name of the table of configurations.
const Table = "config"

const (
	versionPrefix = "v/"
	ackPrefix     = "ack/"
)

// HeadKey returns the key of the row that points to the newest version.
func HeadKey() table.Key { return table.Key{Table: Table, Row: "head"} }

// VersionKey returns the key of the row of one version. Keys sort in the order of versions.
func VersionKey(v Version) table.Key {
	return table.Key{Table: Table, Row: fmt.Sprintf("%s%020d", versionPrefix, v)}
}

// AckKey returns the key of the row of a zone's acknowledgement.
func AckKey(zone string) table.Key { return table.Key{Table: Table, Row: ackPrefix + zone} }

// decodeRow decodes a row's JSON value; an absent row yields the zero value. The error is
// *MalformedError.
func decodeRow[T any](row table.Row) (T, error) {
	var v T
	if row.Version == table.Absent {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, eris.Wrap(&MalformedError{What: row.Key.String(), Cause: err}, "decode row")
	}
	return v, nil
}

func encodeRow(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the rows hold only strings, numbers and bytes
	}
	return data
}

// document returns the document after checking the text against the entry's digest.
func (e Entry) document(text []byte) (Document, error) {
	doc := NewDocument(e.Version, text)
	if !bytes.Equal(doc.Digest[:], e.Digest) {
		return Document{}, &DigestError{Version: e.Version}
	}
	return doc, nil
}
