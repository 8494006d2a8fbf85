// Package claim makes a call that may not be repeated run at most once. A row
// of the table service, keyed by organisation, service and idempotency key, is
// claimed before the call is dispatched and keeps its answer afterwards.
//
// One write comes before dispatch, not two ("claimed", then "sent"). The claim
// is taken at the last moment, after admission and routing, so a call that was
// never claimed has no row and any VM may run it; that is what a takeover of a
// claimed-but-unsent row would give, for one write less. The two schemes leave
// the same doubt: between the last write and the first byte sent, a VM that
// dies leaves a row that says perhaps run. See docs/design/requests.md.
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

// Table is the name of the claims' table.
const Table = "claim"

// Key names one at-most-once call.
type Key struct {
	Organisation string
	Service      string
	// IdempotencyKey is the caller's Idempotency-Key.
	IdempotencyKey string
}

func (k Key) row() table.Key {
	parts := []string{url.PathEscape(k.Organisation), url.PathEscape(k.Service), url.PathEscape(k.IdempotencyKey)}
	return table.Key{Table: Table, Row: strings.Join(parts, "/")}
}

// serviceOf is the service of a row.
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

// Digest tells whether two requests with one key are the same request.
type Digest string

// DigestOf covers what the endpoint would act on.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Response is what a call's endpoint answered.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// state is how far a call has come, as far as the table knows.
type state string

const (
	// claimed: the call is perhaps run, now or earlier. Only the claim's
	// owner may write the row again.
	claimed state = "claimed"
	// released: the owner proved that the call did not run. Anyone may claim
	// it anew, conditional on this row's version.
	released state = "released"
	// done: the call ran. The row never changes again until it is cleaned.
	done state = "done"
)

// record is the value of a row.
type record struct {
	// Write is the id of the write that made this value; a writer whose
	// answer was lost knows its own write by it.
	Write  string `json:"write"`
	State  state  `json:"state"`
	Owner  string `json:"owner"`
	Digest Digest `json:"digest"`
	// At is the wall clock in Unix milliseconds, for retention only.
	At int64 `json:"at"`
	// Until is when the caller's deadline passes, in Unix milliseconds. It
	// only words the answer to a repeat (in progress or unknown) and never
	// gives anyone the right to run the call.
	Until int64 `json:"until,omitempty"`
	// Response is kept inline, or as the object named Object when it is large.
	// With neither, a done call's answer was not kept.
	Response *Response `json:"answer,omitempty"`
	Object   string    `json:"object,omitempty"`
}

func (r record) encode() []byte { return encode(r) }

func (a Response) encode() []byte { return encode(a) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // no field of record and Answer can fail to marshal
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
