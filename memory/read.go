package memory

import (
	"bytes"
	"io"
)

// minBuffer is the size in bytes of the first buffer for a body whose length is not known.
const minBuffer = 4 << 10

// ReadAll reads a body whose length is not known, to its end or until more than limit bytes were read; a limit of zero is none.
// Its buffer, which is doubled whenever it is full, is reserved beside what the reservation has. The error is *FullError if
// there is no room for it, or that of the source.
func (r *Reservation) ReadAll(source io.Reader, limit int64) ([]byte, error) {
	base := r.bytes
	var body []byte
	for {
		if limit > 0 && int64(len(body)) > limit {
			return body, nil
		}
		if len(body) == cap(body) {
			size := max(minBuffer, 2*cap(body))
			if limit > 0 {
				size = min(size, int(limit)+1) // the last byte is for the end of the body
			}
			if err := r.Resize(base + int64(size+cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			body = bytes.Clone(body)
			return body, r.Resize(base + int64(len(body)))
		case err != nil:
			return nil, err
		}
	}
}
