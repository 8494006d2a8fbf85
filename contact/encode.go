package contact

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// plainRoster is the longest encoded roster that is not compressed, in
	// bytes. That of a small zone stays readable in the table.
	maxPlainRoster = 1 << 10
	// maxRoster bounds a decoded roster in bytes.
	maxRosterSize = 4 << 20
)

// gzipMagic begins a compressed roster; a plain one begins with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the form kept in the table and sent to peers: JSON, and
// compressed if it is long. All VMs read it now and then, which in a large zone
// would be most of their control traffic.
func (r Roster) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a Roster holds only strings, numbers and booleans
	}
	if len(data) <= maxPlainRoster {
		return data
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(data) // a buffer takes all
	_ = w.Close()
	return buf.Bytes()
}

// Decode reads a roster from a table row or a message; nil data is the empty
// roster. The error is *MalformedError.
func Decode(data []byte) (Roster, error) {
	var r Roster
	if len(data) == 0 {
		return r, nil
	}
	plain, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(plain, &r)
	}
	if err != nil {
		return Roster{}, eris.Wrap(&MalformedError{Cause: err}, "decode roster")
	}
	return r, nil
}

// inflate returns what was compressed, or data itself if it was not. A longer
// text than a roster may have comes back cut, which no decoder takes.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxRosterSize))
}
