// Package claim makes non-repeatable calls run at most once. A row of the table service, keyed by
// organisation, service and idempotency key, is claimed before the call is dispatched and stores
// its response afterwards.
//
// One write precedes dispatch, not two ("claimed", then "sent"). The claim is made as late as
// possible, after admission and routing, so a call that was never claimed has no row and any VM may
// run it. A second write would only allow another VM to take over a row that was claimed but not
// sent, which the late claim gives for one write less. Both schemes leave the same uncertainty: a
// VM that crashes between its last write and the first byte sent leaves a row whose call may have
// run. See docs/design/requests.md.
package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/springweir/springweir/table"
)

// Table is the name of the table that holds the claims.
const Table = "claim"

// Key identifies one at-most-once call.
type Key struct {
	Organisation string
	Service      string
	// IdempotencyKey is the caller's Idempotency-Key header.
	IdempotencyKey string
}

func (k Key) row() table.Key {
	parts := []string{url.PathEscape(k.Organisation), url.PathEscape(k.Service), url.PathEscape(k.IdempotencyKey)}
	return table.Key{Table: Table, Row: strings.Join(parts, "/")}
}

// serviceOf returns the service part of a row's key, or "" if the key is malformed.
func serviceOf(key table.Key) string {
	parts := strings.Split(key.Row, "/")
	if len(parts) != 3 {
		return ""
	}
	name, err := url.PathUnescape(parts[1])
	if err != nil {
		return ""
	}
	return name
}

// Digest identifies the content of a request, to detect a key reused for a different request.
type Digest string

// DigestOf hashes the parts of a request that the endpoint acts on.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Response is the stored response of a call's endpoint.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// state is the progress of a call as recorded in the table.
type state string

const (
	// claimed means that the call is running or may have run. Only the owner of the claim may write
	// the row.
	claimed state = "claimed"
	// released means that the owner proved that the call did not run. Any VM may claim the call
	// again, conditional on this row's version.
	released state = "released"
	// done means that the call ran. The row does not change again until it is deleted.
	done state = "done"
)

// record is the value of a row.
type record struct {
	// Write is the ID of the write that produced this value. A writer that lost the response to its
	// write recognises the write by this ID.
	Write  string `json:"write"`
	State  state  `json:"state"`
	Owner  string `json:"owner"`
	Digest Digest `json:"digest"`
	// At is the wall clock time of the write in Unix milliseconds, used for retention only.
	At int64 `json:"at"`
	// Until is the caller's deadline in Unix milliseconds. It only selects the failure that a
	// repeat gets (in progress or unknown) and never permits anyone to run the call.
	Until int64 `json:"until,omitempty"`
	// Response is stored inline, or in the object named Object if it is large. If both are empty,
	// the response of a done call was not stored.
	Response *Response `json:"answer,omitempty"`
	Object   string    `json:"object,omitempty"`
}

func (r record) encode() []byte { return encode(r) }

func (a Response) encode() []byte { return encode(a) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // record and Response hold only types that marshal without error
	}
	return b
}

func decode(row table.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, &CorruptError{Key: row.Key, Cause: err}
	}
	return r, nil
}

func newWriteID() string { return rand.Text() }

func millis(t time.Time) int64 { return t.UnixMilli() }
