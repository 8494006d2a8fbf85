package relay

import (
	"io"
	"sync"

	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
)

// pieceBytes is the size in bytes of the pieces of a long body.
const pieceBytes = 64 << 10

// pieces is a body in pieces. A long body is never copied into one slice, which would take its size twice.
type pieces [][]byte

// length returns the length of the body in bytes.
func (p pieces) length() int64 {
	n := 0
	for _, piece := range p {
		n += len(piece)
	}
	return int64(n)
}

// maxFreePieces bounds the pieces that are kept for later bodies.
const maxFreePieces = 64

// freePieces holds pieces that are not used any more, so that many long bodies one after the other leave no garbage.
// It is safe for concurrent use; mu is a leaf lock.
type freePieces struct {
	mu   sync.Mutex
	free []*[pieceBytes]byte
}

// take returns a piece.
func (f *freePieces) take() *[pieceBytes]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.free)
	if n == 0 {
		return new([pieceBytes]byte)
	}
	p := f.free[n-1]
	f.free = f.free[:n-1]
	return p
}

// put returns the pieces of a body, which must not be used any more.
func (f *freePieces) put(body pieces) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range body {
		if cap(p) >= pieceBytes && len(f.free) < maxFreePieces {
			f.free = append(f.free, (*[pieceBytes]byte)(p[:pieceBytes]))
		}
	}
}

// bodyReader reads bodies of responses into memory.
type bodyReader struct {
	// budget bounds the bodies that are held, all together.
	budget *memory.Budget
	free   freePieces
}

// heldBody is a body in memory. release must be called once the body is not used any more.
type heldBody struct {
	pieces
	reader      *bodyReader
	reservation *memory.Reservation
}

// release returns the memory of the body. Further calls do nothing.
func (b *heldBody) release() {
	b.reader.free.put(b.pieces)
	b.pieces = nil
	b.reservation.Release()
}

// grow takes memory for n further bytes.
func (b *heldBody) grow(n int64) error {
	if err := b.reservation.Resize(b.reservation.Bytes() + n); err != nil {
		return h1.NewLimitError(h1.Bodies, b.reader.budget.Total())
	}
	return nil
}

// read reads a body of up to limit bytes, whose size is -1 if it is not known. The error is *h1.LimitError if the body
// is longer or there is no memory for it, and then nothing of it is returned.
func (r *bodyReader) read(source io.Reader, size, limit int64) (*heldBody, error) {
	body := &heldBody{reader: r, reservation: r.budget.Open()}
	err := body.readFrom(io.LimitReader(source, limit+1), size)
	if err == nil && body.length() > limit {
		err = h1.NewLimitError(h1.Body, limit)
	}
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// readFrom appends the rest of a source, whose size is -1 if it is not known.
func (b *heldBody) readFrom(source io.Reader, size int64) error {
	if size >= 0 && size < pieceBytes {
		return b.readShort(source, size)
	}
	for last := pieceBytes; last == pieceBytes; {
		if err := b.grow(pieceBytes); err != nil {
			return err
		}
		piece := b.reader.free.take()
		var err error
		last, err = fill(source, piece[:])
		b.pieces = append(b.pieces, piece[:last])
		if err != nil {
			return err
		}
	}
	return nil
}

// readShort reads a body of less than a piece. The buffer has room for one byte more, so that the end of the source is
// read too.
func (b *heldBody) readShort(source io.Reader, size int64) error {
	if err := b.grow(size + 1); err != nil {
		return err
	}
	piece := make([]byte, size+1)
	n, err := fill(source, piece)
	b.pieces = pieces{piece[:n]}
	return err
}

// fill reads until b is full or the source ends, which is no error.
func fill(source io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = source.Read(b[n:])
		n += read
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}
