package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
)

// limitPart returns the part of a *h1.LimitError, or "" for another error.
func limitPart(err error) h1.Part {
	var limit *h1.LimitError
	if errors.As(err, &limit) {
		return limit.Part
	}
	return ""
}

// A body must arrive unchanged whatever its length, one that breaks off must not pass for whole, and one over the limit
// must not be read further.
func TestReadPieces(t *testing.T) {
	r := bodyReader{budget: memory.NewBudget(16<<20, nil)}
	const limit = 20*pieceBytes + 10
	for _, size := range []int{0, 1, pieceBytes - 1, pieceBytes, pieceBytes + 1, 2 * pieceBytes, 16 * pieceBytes, limit - 1, limit, limit + 1, 2 * limit} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 7 / 5)
		}
		for _, length := range []int64{-1, int64(size)} {
			testRead(t, &r, body, length, limit)
		}
	}
	if held := r.budget.Held(); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}

func testRead(t *testing.T, r *bodyReader, body []byte, length, limit int64) {
	size := len(body)
	got, err := r.read(iotest.HalfReader(bytes.NewReader(body)), length, limit)
	if int64(size) > limit {
		if limitPart(err) != h1.Body || got != nil {
			t.Errorf("%d bytes: got %v", size, err)
		}
		return
	}
	if err != nil || !bytes.Equal(bytes.Join(got.pieces, nil), body) || got.length() != int64(size) {
		t.Errorf("%d bytes: another body, %v", size, err)
	}
	if held := r.budget.Held(); held < int64(size) {
		t.Errorf("%d bytes are counted of a body of %d that is not released", held, size)
	}
	got.release()
	got.release()
	for _, end := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
		source := io.MultiReader(bytes.NewReader(body), iotest.ErrReader(end))
		if got, err := r.read(source, length, limit); !errors.Is(err, end) || got != nil {
			t.Errorf("%d bytes and %v: got %v", size, end, err)
		}
	}
}

// Several bodies without end, whose callers don't read them, must not take more memory than the budget, nor make a
// shorter one fail.
func TestBodyMemoryIsShared(t *testing.T) {
	const total = 16 << 20
	r := bodyReader{budget: memory.NewBudget(total, nil)}
	endless := iotest.DataErrReader(zeroes{})
	var long []*heldBody
	for range 100 {
		body, err := r.read(io.LimitReader(endless, 3<<20), -1, 4<<20)
		if err != nil {
			if limitPart(err) != h1.Bodies {
				t.Fatal(err)
			}
			continue
		}
		long = append(long, body)
	}
	if held := r.budget.Held(); held > total || len(long) < 3 {
		t.Errorf("%d long bodies hold %d bytes of %d", len(long), held, total)
	}
	for _, size := range []int64{1, 800, pieceBytes, 8 * pieceBytes} {
		body, err := r.read(io.LimitReader(endless, size), -1, 4<<20)
		if err != nil {
			t.Errorf("a body of %d bytes was refused beside the long ones: %v", size, err)
			continue
		}
		body.release()
	}
}

// zeroes is a source without end.
type zeroes struct{}

// Read implements io.Reader.
func (zeroes) Read(b []byte) (int, error) { return len(b), nil }

// A stream must hold memory for its long events only, and no more than there is.
func TestLongEventsAreBounded(t *testing.T) {
	budget := memory.NewBudget(8<<20, nil)
	long := "data: " + strings.Repeat("z", 512<<10) + "\n\n"
	var readers []*eventReader
	refused := 0
	for range 20 {
		r := newEventReader(strings.NewReader(long+"data: short\n\n"), DefaultMaxEventBytes, budget.Open())
		readers = append(readers, r)
		if _, err := r.next(); err != nil {
			if limitPart(err) != h1.Bodies {
				t.Fatal(err)
			}
			refused++
		}
	}
	if held := budget.Held(); held > budget.Total() || refused == 0 || refused == 20 {
		t.Errorf("%d of 20 long events refused, %d bytes held of %d", refused, held, budget.Total())
	}
	for _, r := range readers {
		for r.err == nil {
			if _, err := r.next(); err != nil && err != io.EOF {
				t.Error(err)
			}
		}
		r.memory.Release()
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}

// The longest response that is accepted must fit into the memory of each VM, beside shorter ones: it would fail after its
// request has run.
func TestLongestResponseFits(t *testing.T) {
	for _, vm := range []int64{0, 100e6, 144e6, 284e6, 1048e6} {
		r := bodyReader{budget: memory.NewBudget(memory.LimitsOf(vm).Responses, nil)}
		for _, size := range []int64{64 << 10, 256 << 10, DefaultMaxResponseBytes} {
			if _, err := r.read(io.LimitReader(zeroes{}, size), -1, DefaultMaxResponseBytes); err != nil {
				t.Errorf("VM of %d: a response of %d bytes failed: %v", vm, size, err)
			}
		}
	}
}
