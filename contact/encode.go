package contact

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxPlainRoster is the largest encoded roster that is not compressed, in bytes. The roster
	// of a small zone thus stays readable in the table.
	maxPlainRoster = 1 << 10
	// maxRosterSize bounds a decoded roster in bytes.
	maxRosterSize = 4 << 20
)

// gzipMagic starts a compressed roster; a plain one starts with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the roster as stored in the table and sent to peers: JSON, compressed if it
// exceeds maxPlainRoster. Every VM reads the roster periodically, so in a large zone plain
// rosters would be most of the control traffic.
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
	_, _ = w.Write(data) // a bytes.Buffer never fails
	_ = w.Close()
	return buf.Bytes()
}

// Decode decodes a roster from a table row or a message; nil data yields the empty roster. The
// error is *MalformedError.
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

// decompress returns the decompressed data, or data itself if it is not compressed. Text over
// maxRosterSize is truncated, and then fails to decode.
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
