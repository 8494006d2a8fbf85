package rollout

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// MaxText is the maximum size of a document in bytes.
const MaxText = 8 << 20

// Update carries a document in full or as a patch on an earlier version. Most edits touch one
// or two keys, so a patch keeps the text before and after the edited place and takes some
// dozens of bytes, compared with hundreds of kilobytes for the full text.
type Update struct {
	Version Version
	Digest  Digest
	// Base is the version that the patch applies to; None means that the update is the full
	// text.
	Base Version
	// Prefix and Suffix are the numbers of bytes kept from the start and the end of the base.
	Prefix, Suffix int
	// Body is the compressed text between Prefix and Suffix.
	Body []byte
}

// NewUpdate returns the update from base to doc, or the full document if base is None.
func NewUpdate(base, doc Document) Update {
	u := Update{Version: doc.Version, Digest: doc.Digest, Base: base.Version}
	if base.Version != None {
		u.Prefix = commonPrefix(base.Text, doc.Text)
		u.Suffix = commonSuffix(base.Text[u.Prefix:], doc.Text[u.Prefix:])
	}
	u.Body = compress(doc.Text[u.Prefix : len(doc.Text)-u.Suffix])
	return u
}

// Document returns the document made by applying the update to base. The error is
// *BaseMissingError, *MalformedError, *TooLargeError or *DigestError.
func (u Update) Document(base Document) (Document, error) {
	if u.Base != None && u.Base != base.Version {
		return Document{}, &BaseMissingError{Base: u.Base}
	}
	if u.Base == None {
		base = Document{}
	}
	invalid := u.Prefix < 0 || u.Suffix < 0 || u.Prefix > len(base.Text)-u.Suffix
	if invalid {
		return Document{}, &DigestError{Version: u.Version}
	}
	body, err := decompress(u.Body)
	if err != nil {
		return Document{}, err
	}
	text := bytes.Join([][]byte{base.Text[:u.Prefix], body, base.Text[len(base.Text)-u.Suffix:]}, nil)
	doc := NewDocument(u.Version, text)
	if doc.Digest != u.Digest {
		return Document{}, &DigestError{Version: u.Version}
	}
	return doc, nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

func compress(data []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(data) // a bytes.Buffer never fails
	_ = w.Close()
	return buf.Bytes()
}

// decompress returns the decompressed body; the error is *TooLargeError if it exceeds MaxText.
func decompress(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(&MalformedError{What: "configuration", Cause: err}, "open compressed text")
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxText+1))
	if err != nil {
		return nil, eris.Wrap(&MalformedError{What: "configuration", Cause: err}, "read compressed text")
	}
	if len(text) > MaxText {
		return nil, &TooLargeError{Size: len(text), Limit: MaxText}
	}
	return text, nil
}
