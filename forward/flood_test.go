package forward_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/service"
)

// maxHeapRise is how far the heap may rise under floods, in bytes.
const maxHeapRise = 64 << 20

// floodingService answers each call with bytes without end, and returns its address.
func floodingService(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	block := []byte(strings.Repeat("3e8\r\n"+strings.Repeat("z", 1000)+"\r\n", 64))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for err == nil {
			_, err = conn.Write(block)
		}
	})}
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against responses without end that fill the memory of a VM: many at once are kept up to a common limit, and other
// calls are served.
func TestFloodsOfServicesLeaveMemory(t *testing.T) {
	budget := memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Responses, nil)
	forwarderTo := func(address string) *forward.Forwarder {
		target := service.NewClient(service.Options{Address: address})
		t.Cleanup(target.Close)
		return forward.New(forward.Config{
			Router: fakeforward.Router{Targets: []forward.Target{{Name: "s", Service: target}}}, Admitter: fakeforward.AdmitAll{}, Memory: budget,
		})
	}
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 10_000)) }))
	defer sound.Close()
	flooded, served := forwarderTo(floodingService(t)), forwarderTo(sound.Listener.Addr().String())
	call := func(f *forward.Forwarder) (*forward.Response, error) {
		w := testWork()
		w.Service, w.Call = "s", service.Call{Method: http.MethodPost, Path: "/x"}
		w.Deadline = time.Now().Add(10 * time.Second)
		return f.Call(t.Context(), w)
	}
	runtime.GC()
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before, peak := heap(), int64(0)
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			for range 3 {
				var failed *failure.Request
				if _, err := call(flooded); !errors.As(err, &failed) || failed.Ran == failure.NotRun {
					t.Errorf("got %v", err)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for flooding := true; flooding; {
		peak = max(peak, heap())
		if got, err := call(served); err != nil || len(got.Body) != 10_000 {
			t.Errorf("another call got %v", err)
		}
		select {
		case <-done:
			flooding = false
		default:
		}
	}
	t.Logf("the heap rose by %d MB", (peak-before)>>20)
	if peak-before > maxHeapRise {
		t.Errorf("the heap rose by %d MB", (peak-before)>>20)
	}
	if budget.Held() != 0 {
		t.Errorf("%d bytes are held at the end", budget.Held())
	}
}
