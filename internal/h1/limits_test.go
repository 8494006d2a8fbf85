package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

// flood is a response without end: begin once, then repeat until the connection is closed.
type flood struct {
	name, begin, repeat string
	// part is the part whose limit the flood exceeds.
	part Part
}

const okHead = "HTTP/1.1 200 OK\r\n"

var floods = []flood{
	{"header lines", okHead, "X-A: " + strings.Repeat("a", 90) + "\r\n", Head},
	{"header line", okHead + "X-A: ", strings.Repeat("a", 1000), Line},
	{"folded header line", okHead + "X-A: a", "\r\n " + strings.Repeat("a", 90), Head},
	{"status line", "HTTP/1.1 200 ", strings.Repeat("a", 1000), Line},
	{"no HTTP", "", strings.Repeat("z", 1000), Line},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", Interim},
	{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", strings.Repeat("b", 1000), Body},
	{"chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", Body},
	{"response to another request", okHead + "Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", Discarded},
	{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("e", 1000), Chunks},
	{"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 1000) + "\r\na\r\n", Chunks},
	{"trailers", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", Trailer},
	{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", strings.Repeat("a", 1000), Trailer},
}

// floodServer serves a flood on every connection and counts the connections that are open.
func floodServer(t *testing.T, f flood) (s *server, open *atomic.Int64) {
	open = &atomic.Int64{}
	block := []byte(strings.Repeat(f.repeat, 1+(64<<10)/len(f.repeat)))
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		if _, _, err := readRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, f.begin); err != nil {
			return
		}
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}), open
}

func notOther(_ int, h http.Header) bool { return h.Get("Other") == "" }

// A peer may send bytes without end, which filled the memory of a VM within half a second. Each kind ends with a
// LimitError, and the connection is reset at once.
func TestFloodsEnd(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			s, open := floodServer(t, f)
			p := newPool(t, s, Options{})
			start := time.Now()
			r := post("body")
			r.Accept = notOther
			_, err := roundTrip(t, p, r)
			var limit *LimitError
			if !errors.As(err, &limit) || limit.Part != f.part || failure.ReasonOf(limit) != failure.EndpointFailed {
				t.Fatalf("got %v, want a LimitError for %s", err, f.part)
			}
			var exchange *Error
			if errors.As(err, &exchange) && !exchange.Sent {
				t.Error("the error says that the request was not sent")
			}
			for open.Load() > 0 && time.Since(start) < time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(start); open.Load() > 0 || took > 500*time.Millisecond {
				t.Errorf("%d connections open after %v", open.Load(), took)
			}
			if p.HasIdle() {
				t.Error("the connection is kept")
			}
		})
	}
}

// All kinds at once at full speed must leave the memory of the process within 64 MB, while other requests are served.
func TestFloodsLeaveMemory(t *testing.T) {
	var pools []*Pool
	for _, f := range floods {
		s, _ := floodServer(t, f)
		pools = append(pools, newPool(t, s, Options{}))
	}
	healthy := newPool(t, serve(t, echo), Options{})
	peak := watchHeap(t)
	var wg sync.WaitGroup
	end := time.Now().Add(time.Second)
	var flooded, served atomic.Int64
	for _, p := range append(pools, pools...) {
		wg.Go(func() {
			for time.Now().Before(end) {
				r := post("body")
				r.Accept = notOther
				if _, err := roundTrip(t, p, r); err == nil {
					t.Error("a flood was a response")
				}
				flooded.Add(1)
			}
		})
	}
	for range 4 {
		wg.Go(func() {
			for time.Now().Before(end) {
				if got, err := roundTrip(t, healthy, post("body")); err != nil || got != "body" {
					t.Errorf("got %q, %v", got, err)
				}
				served.Add(1)
			}
		})
	}
	wg.Wait()
	rise := peak()
	t.Logf("%d floods, %d other requests served, heap rose by %d KB", flooded.Load(), served.Load(), rise>>10)
	if rise > 64<<20 {
		t.Errorf("the heap rose by %d MB", rise>>20)
	}
	if served.Load() < 100 {
		t.Errorf("%d other requests served", served.Load())
	}
}

// watchHeap samples the heap until the returned function is called, which returns by how many bytes it rose.
func watchHeap(t *testing.T) (rise func() int64) {
	t.Helper()
	runtime.GC()
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before, peak := heap(), int64(0)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			peak = max(peak, heap())
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-done
		return peak - before
	}
}

// respondWith returns a pool whose server responds with a fixed text and closes the connection.
func respondWith(t *testing.T, text string, o Options) *Pool {
	return newPool(t, serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}), o)
}

// What is exactly at a limit is accepted, and what is one above it is not.
func TestLimitsAreExact(t *testing.T) {
	limits := Limits{Head: 10000, Line: 5000, Interim: 2, Discard: 100}
	head := func(line, total int) string {
		text := okHead + "Connection: close\r\nX-A: " + strings.Repeat("a", line-7) + "\r\n"
		return text + "X-B: " + strings.Repeat("b", total-len(text)-9) + "\r\n\r\n"
	}
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	other := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("o", n))
	}
	otherUntilChunk := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nOther: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("o", n))
	}
	for _, tc := range []struct {
		name, text string
		part       Part
	}{
		{"line", head(5000, 9000), ""},
		{"line too long", head(5001, 9000), Line},
		{"head", head(5000, 10000), ""},
		{"head too long", head(5000, 10001), Head},
		{"interim", interim + interim + head(100, 5000), ""},
		{"too many interim", interim + interim + interim + head(100, 5000), Interim},
		{"head limit per response", strings.Replace(head(5000, 10000), "200", "100", 1) + head(5000, 10000), ""},
		{"discarded", other(100) + other(100) + head(100, 5000), ""},
		{"too much discarded", other(101) + head(100, 5000), Discarded},
		{"discarded chunk", otherUntilChunk(100) + head(100, 5000), ""},
		{"too much in a discarded chunk", otherUntilChunk(101) + head(100, 5000), Discarded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := post("")
			r.Accept = notOther
			_, err := roundTrip(t, respondWith(t, tc.text+"body", Options{Limits: limits}), r)
			var limit *LimitError
			if errors.As(err, &limit); tc.part == "" && err != nil || tc.part != "" && (limit == nil || limit.Part != tc.part) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// The error for a head that is no HTTP quotes it, and must not fill the log.
func TestErrorForMalformedHeadIsShort(t *testing.T) {
	_, err := roundTrip(t, respondWith(t, strings.Repeat("z", 10000)+"\r\n\r\n", Options{}), post(""))
	if err == nil || len(err.Error()) > 2*maxErrorText {
		t.Errorf("got an error of %d bytes", len(fmt.Sprint(err)))
	}
}

// The response to a HEAD request has a length but no body, so that the length is not over any limit.
func TestLengthOfHEADResponse(t *testing.T) {
	r := &Request{Method: http.MethodHead, Target: "/", Host: "h.example"}
	if body, err := roundTrip(t, respondWith(t, okHead+"Content-Length: 9000000\r\n\r\n", Options{}), r); err != nil || body != "" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Calls of other VMs by generated clients read bodies whole, which LimitBodies bounds.
func TestLimitBodies(t *testing.T) {
	size, status := 0, http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(make([]byte, size))
	}))
	defer s.Close()
	const limit = 2 * MaxFailureBody
	client := LimitBodies(&http.Client{Transport: &http.Transport{}}, limit)
	for _, tc := range []struct {
		status, size int
		within       bool
	}{{200, 0, true}, {200, limit, true}, {200, limit + 1, false}, {200, 2 * limit, false}, {500, MaxFailureBody, true}, {500, MaxFailureBody + 1, false}} {
		size, status = tc.size, tc.status
		response, err := client.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var over *LimitError
		if tc.within && (err != nil || len(body) != tc.size) || !tc.within && !errors.As(err, &over) {
			t.Errorf("%+v: got %d bytes, %v", tc, len(body), err)
		}
	}
}

// piecesReader returns its bytes in pieces of a length.
type piecesReader struct {
	b     []byte
	piece int
}

// Read implements io.Reader.
func (r *piecesReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.piece)], r.b)
	r.b = r.b[n:]
	return n, nil
}

// hasFoldedLine reports whether a line of a head begins with a blank or a tab.
func hasFoldedLine(data []byte) bool {
	for line := range bytes.Lines(data) {
		switch {
		case line[0] == ' ', line[0] == '\t':
			return true
		case len(bytes.Trim(line, "\r\n")) == 0:
			return false
		}
	}
	return false
}

// FuzzHead checks that a response within the limits is parsed as by http.ReadResponse and CheckHead, however its bytes arrive,
// or rejected if its head has a folded line.
func FuzzHead(f *testing.F) {
	f.Add([]byte(okHead+"Content-Length: 4\r\n\r\nbody"), 1)
	f.Add([]byte(okHead+"A: b\r\n c\r\n\td\r\n\r\n"), 2)
	f.Add([]byte("HTTP/1.1 204 No Content\nA: b\nC:\n\n"), 3)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), 100)
	f.Add([]byte(okHead+"Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n"), 7)
	f.Add([]byte(okHead+"A : b\r\nC: d\r\n\r\n"), 9)
	f.Add([]byte("HTTP/1.1 000 In Trouble\r\nContent-Length: 4\r\n\r\nbody"), 9)
	f.Add([]byte("x\n\nHTTP/1.1 200\r\n\r\n"), 5)
	f.Add([]byte("HTTP/1.0 200 OK\r\nA: "+strings.Repeat("a", 5000)+"\r\n\r\n"+strings.Repeat("b", 20000)), 4096)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if len(data) > DefaultLineLimit { // else the response may not be within the limits
			data = data[:DefaultLineLimit]
		}
		piece = max(1, piece)
		want, wantErr := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(data), readBufferSize), nil)
		if wantErr == nil {
			wantErr = CheckHead(want)
		}
		p := NewPool("", Options{})
		c := &conn{source: headSource{pool: p, source: &piecesReader{data, piece}}}
		c.reader = bufio.NewReaderSize(&c.source, readBufferSize)
		got, err := (&exchange{pool: p, conn: c}).readHead("GET")
		if wantOK := wantErr == nil && !hasFoldedLine(data); (err == nil) != wantOK {
			t.Fatalf("got %v, want %v", err, wantErr)
		}
		if err != nil {
			return
		}
		wantBody, wantErr := io.ReadAll(want.Body)
		body, err := io.ReadAll(got)
		if (err == nil) != (wantErr == nil) || !bytes.Equal(body, wantBody) {
			t.Errorf("got %q, %v, want %q, %v", body, err, wantBody, wantErr)
		}
		if diff := cmp.Diff(want.Header, got.Header); diff != "" || got.Status != want.StatusCode || got.Length != want.ContentLength || got.closing != want.Close {
			t.Errorf("got %+v, want %+v\n%s", got, want, diff)
		}
	})
}

// BenchmarkResponse measures a normal exchange on a connection that is kept.
func BenchmarkResponse(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	text := []byte(okHead + "Request-Id: r-1\r\nX-Server: s\r\nContent-Type: text/plain\r\nDate: Fri, 04 Dec 2026 10:00:00 GMT\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("b", 2000))
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	p := NewPool(l.Addr().String(), Options{})
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		a, err := p.Do(b.Context(), post("body"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := a.ReadAll(1 << 20); err != nil {
			b.Fatal(err)
		}
		a.Close()
	}
}

// BenchmarkHead measures the parse of a normal head without a socket.
func BenchmarkHead(b *testing.B) {
	text := okHead + "Request-Id: r-1\r\nX-Server: s\r\nContent-Type: text/plain\r\nDate: Fri, 04 Dec 2026 10:00:00 GMT\r\nContent-Length: 0\r\n\r\n"
	p := NewPool("", Options{})
	source := strings.NewReader(text)
	c := &conn{source: headSource{pool: p, source: source}}
	c.reader = bufio.NewReaderSize(&c.source, readBufferSize)
	ex := &exchange{pool: p, conn: c}
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(text)
		c.reader.Reset(&c.source)
		if _, err := ex.readHead("GET"); err != nil {
			b.Fatal(err)
		}
	}
}

// A body that the peer does not read must not be held for longer than UserTimeout allows, whether the peer is silent or
// has responded already.
func TestUnreadRequestBodyIsReleased(t *testing.T) {
	for _, response := range []string{"", "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"} {
		before := runtime.NumGoroutine()
		s := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, response)
			time.Sleep(2 * time.Second)
		})
		p := newPool(t, s, Options{UserTimeout: 500 * time.Millisecond})
		start := time.Now()
		_, err := roundTrip(t, p, post(strings.Repeat("z", 32<<20))) // more than the kernel buffers
		if took := time.Since(start); (err == nil) != (response != "") || took > 1500*time.Millisecond {
			t.Errorf("after %v: %v", took, err)
		}
		_ = s.Close()
		for runtime.NumGoroutine() > before+1 && time.Since(start) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if n := runtime.NumGoroutine(); n > before+1 || p.HasIdle() {
			t.Errorf("%d goroutines, before %d; idle connection kept: %v", n, before, p.HasIdle())
		}
	}
}
