package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/memory"
)

// Bodies must arrive unchanged whether their length is known or not, and what is counted must be what is held.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 100_000, limit, limit + 1} {
		for _, length := range []int64{-1, int64(size)} {
			body := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			r := httptest.NewRequest(http.MethodPost, "/x", io.MultiReader(bytes.NewReader(body)))
			r.ContentLength = length
			h := &handler{memory: memory.NewBudget(32<<20, nil), stall: time.Second}
			held := h.memory.Open()
			got, failed := h.readBody(deadlineRecorder{httptest.NewRecorder()}, r, limit, held)
			if size > limit {
				if codeOf(failed) != failure.TooLarge || got != nil {
					t.Errorf("%d bytes, length %d: %v", size, length, failed)
				}
				continue
			}
			if failed != nil || !bytes.Equal(got, body) {
				t.Errorf("%d bytes, length %d: another body, %v", size, length, failed)
			}
			if counted := held.Bytes() - memory.RequestOverhead - headBytes(r); counted != int64(len(got)) || cap(got) > len(got)+len(got)/4+64 {
				t.Errorf("%d bytes, length %d: %d counted, %d allocated", size, length, counted, cap(got))
			}
			held.Release()
			if h.memory.Held() != 0 {
				t.Errorf("%d bytes are still held", h.memory.Held())
			}
		}
	}
}

// A body of the limit whose length is not known must not be refused where twice its size is free.
func TestBodyOfUnknownLengthTakesTwiceItsSize(t *testing.T) {
	const limit = 4 << 20
	held, err := memory.NewBudget(12<<20, nil).Reserve(memory.RequestOverhead) // a quarter is kept free
	if err != nil {
		t.Fatal(err)
	}
	body, err := held.ReadAll(bytes.NewReader(make([]byte, limit)), limit)
	if err != nil || len(body) != limit {
		t.Errorf("%d bytes read, %v", len(body), err)
	}
}

// deadlineRecorder is a ResponseRecorder whose reads may have deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline is called by http.ResponseController.
func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// A long request for which there is no memory must be refused before its body has arrived, as not run and with a time
// to come back, and the refusal must reach a caller that sends the whole request before it reads.
func TestRefusalWithoutMemory(t *testing.T) {
	h := &handler{codec: textCodec{}, memory: memory.NewBudget(8<<20, nil), state: &state{freshness: freshness.New(nil)}, stall: time.Second}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := h.memory.Open()
		defer held.Release()
		if _, failed := h.readBody(w, r, 0, held); failed != nil {
			h.reject(w, r, "id", failed)
		}
	}))
	defer server.Close()
	filler, err := h.memory.Reserve(5 << 20)
	if err != nil {
		t.Fatal(err)
	}
	for _, chunked := range []bool{false, true} {
		if status, after := sendLong(t, server.Listener.Addr().String(), chunked); status != http.StatusServiceUnavailable || after == "" {
			t.Errorf("chunked %v: status %d, Retry-After %q", chunked, status, after)
		}
	}
	filler.Release()
	if status, _ := sendLong(t, server.Listener.Addr().String(), false); status != http.StatusOK {
		t.Errorf("with memory: status %d", status)
	}
	if h.memory.Held() != 0 {
		t.Errorf("%d bytes are still held", h.memory.Held())
	}
}

// sendLong sends the whole of a request with a body of 4 MiB, and then reads the response.
func sendLong(t *testing.T, address string, chunked bool) (status int, retryAfter string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	const size = 4 << 20
	body := strings.Repeat("z", size)
	text := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body)
	if chunked {
		text = fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("chunked %v: the request could not be sent: %v", chunked, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("chunked %v: no response: %v", chunked, err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// textCodec is a Codec that only sets Retry-After.
type textCodec struct{ Codec }

// SetRefusalHeaders implements Codec.
func (textCodec) SetRefusalHeaders(h http.Header, _ string, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// A head for which there is no memory must be refused while it arrives, with a time to come back, and heads that have
// arrived must not be counted any more.
func TestHeadsBeyondMemoryAreRefused(t *testing.T) {
	budget := memory.NewBudget(64<<10, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headArrived(r) }))
	server.ConnContext, server.ConnState = connContext, trackHead
	go func() { _ = server.Serve(&headListener{Listener: listener, memory: budget}) }()
	defer server.Close()
	address := listener.Addr().String()
	part := "POST /x HTTP/1.1\r\nHost: h\r\nFiller: " + strings.Repeat("f", 16<<10)
	refused := 0
	for range 10 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, part); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			continue // it may go on
		}
		if after, _ := io.ReadAll(reader); len(after) > 0 {
			t.Errorf("%q follows the refusal", after)
		}
		refused++
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("refused with %d and %v", response.StatusCode, response.Header)
		}
	}
	if held := budget.Held(); refused == 0 || refused == 10 || held == 0 || held > budget.Total() {
		t.Errorf("%d of 10 heads refused, %d bytes held of %d", refused, held, budget.Total())
	}
	for range 3 { // short heads need no memory
		response, err := http.Get("http://" + address + "/x")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	_ = server.Close()
	for end := time.Now().Add(5 * time.Second); budget.Held() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("%d bytes are held once the connections are closed", held)
	}
}
