package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/service"
)

const (
	// benchEngines is the size of a pool, in engines.
	benchEngines = 12
	// benchClients is the number of concurrent callers.
	benchClients = 8
	// latencyRequests is the number of requests whose latency is measured.
	latencyRequests = 300
	// benchTokens is the length of a response.
	benchTokens = 64
	// shortPromptBytes is the size of a prompt of about 500 tokens, longPromptBytes that of
	// one of about 10,000 tokens.
	shortPromptBytes = 2000
	longPromptBytes  = 40000
)

// cost is the cost of one request in the process, which also contains the caller and the
// stand-in.
type cost struct {
	cpu     time.Duration
	allocs  float64
	latency *hdrhistogram.Histogram
}

// BenchmarkOverhead measures requests sent to an endpoint directly and through an entry, in
// one run. The metrics of the entry's line are ratios to and differences from the direct
// line above it:
//
//	cpu-ns/op        CPU time of caller, stand-in and entry
//	added-p50-ns     latency that the entry adds for a single caller; also added-p99-ns
//	entry-cpu-ns/op  CPU time that the entry adds
//	entry-allocs/op  allocations that the entry adds
//	req/s/core       requests per second that one core of the entry can serve
//	core-ratio       requests per CPU time through the entry, relative to direct ones
//	writes/op        commits to the table
func BenchmarkOverhead(b *testing.B) {
	s := newTestZone(b, loopbackOptions(benchEngines))
	defer s.shutDown()
	for _, kind := range []struct {
		name          string
		direct, entry func(n uint64) error
	}{
		{"chat", s.directChat(b, shortPromptBytes), s.entryChat(shortPromptBytes, false)},
		{"letter", s.directChat(b, longPromptBytes), s.entryChat(longPromptBytes, false)},
		{"stream64", s.directChat(b, shortPromptBytes), s.entryChat(shortPromptBytes, true)},
		{"call", s.directCall(b, http.MethodGet, "rates-1"), s.entryCall(http.MethodGet, "rates")},
		{"claimed", s.directCall(b, http.MethodPost, "slots-1"), s.entryCall(http.MethodPost, "slots")},
	} {
		b.Run(kind.name, func(b *testing.B) {
			var direct cost
			b.Run("direct", func(b *testing.B) {
				direct = s.measure(b, kind.direct)
			})
			b.Run("entry", func(b *testing.B) {
				commits := s.rows.Counts().Commits
				viaEntry := s.measure(b, kind.entry)
				reportAdded(b, direct, viaEntry)
				requests := b.N + benchClients + latencyRequests
				b.ReportMetric(float64(s.rows.Counts().Commits-commits)/float64(requests), "writes/op")
			})
		})
	}
}

func reportAdded(b *testing.B, direct, viaEntry cost) {
	if direct.latency == nil {
		return // the direct part was not selected
	}
	for _, q := range []float64{50, 99} {
		added := viaEntry.latency.ValueAtQuantile(q) - direct.latency.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("added-p%.0f-ns", q))
	}
	added := viaEntry.cpu - direct.cpu
	b.ReportMetric(float64(added.Nanoseconds()), "entry-cpu-ns/op")
	b.ReportMetric(viaEntry.allocs-direct.allocs, "entry-allocs/op")
	b.ReportMetric(float64(time.Second)/float64(added), "req/s/core")
	b.ReportMetric(float64(direct.cpu)/float64(viaEntry.cpu), "core-ratio")
}

// measure measures the latency of latencyRequests sent one at a time, and then sends b.N
// requests from benchClients concurrent callers.
func (s *testZone) measure(b *testing.B, send func(n uint64) error) cost {
	warmUp(b, send)
	latency := measureLatency(b, send)
	var next atomic.Uint64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	var clients sync.WaitGroup
	for range benchClients {
		clients.Go(func() {
			for n := next.Add(1); n <= uint64(b.N); n = next.Add(1) {
				if err := send(n); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	clients.Wait()
	b.StopTimer()
	cpu = cpuTime(b) - cpu
	runtime.ReadMemStats(&after)
	c := cost{cpu: cpu / time.Duration(b.N), allocs: float64(after.Mallocs-before.Mallocs) / float64(b.N), latency: latency}
	b.ReportMetric(float64(c.cpu.Nanoseconds()), "cpu-ns/op")
	return c
}

func measureLatency(b *testing.B, send func(n uint64) error) *hdrhistogram.Histogram {
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	for n := range uint64(latencyRequests) {
		start := time.Now()
		if err := send(n); err != nil {
			b.Fatal(err)
		}
		_ = latency.RecordValue(int64(time.Since(start))) // within a minute
	}
	return latency
}

// warmUp opens the connections.
func warmUp(b *testing.B, send func(n uint64) error) {
	var clients sync.WaitGroup
	for range benchClients {
		clients.Go(func() {
			if err := send(0); err != nil {
				b.Error(err)
			}
		})
	}
	clients.Wait()
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchID numbers requests over all runs, so that no attempt ID or key is reused.
var benchID atomic.Uint64

// benchPrompt returns a prompt of about the given size whose response is cut off at
// benchTokens tokens.
func benchPrompt(bytes int) string {
	return strings.Repeat("May a container stand at the corner of the market? ", bytes/51) + "0"
}

func (s *testZone) endpointAddress(tb testing.TB, name string) string {
	for _, e := range s.entry.common.store.Snapshot().Endpoints() {
		if e.Name == name {
			return e.Address
		}
	}
	tb.Fatalf("no endpoint %s", name)
	return ""
}

// directChat sends requests to the engines in turn, in the engine protocol.
func (s *testZone) directChat(b *testing.B, bytes int) func(uint64) error {
	prompt := "user: " + benchPrompt(bytes) + "\nassistant: "
	var addresses []string
	for i := range benchEngines {
		addresses = append(addresses, s.endpointAddress(b, engineName(i)))
	}
	return func(n uint64) error {
		id := fmt.Sprint("direct-", benchID.Add(1))
		body, err := json.Marshal(engine.GenerateRequest{
			ID: id, Attempt: id, Model: "chat", Priority: engine.Standard, Prompt: prompt,
			PromptTokens: len(prompt) / 4, PrefixHashes: prefix.Hashes("", prompt), MaxTokens: benchTokens,
		})
		if err != nil {
			return err
		}
		address := addresses[n%benchEngines]
		return s.exchange(http.MethodPost, "http://"+address+engine.GeneratePath, body, nil, `"finish":"length"`)
	}
}

func (s *testZone) entryChat(bytes int, stream bool) func(uint64) error {
	r := chatRequest(benchPrompt(bytes), benchTokens, stream)
	want := `"finish_reason":"length"`
	url := s.url(s.entry.listeners.callers) + r.path
	return func(uint64) error { return s.exchange(r.method, url, []byte(r.body), nil, want) }
}

func (s *testZone) directCall(b *testing.B, method, name string) func(uint64) error {
	url := "http://" + s.endpointAddress(b, name) + "/confirm"
	return s.call(method, url)
}

func (s *testZone) entryCall(method, service string) func(uint64) error {
	return s.call(method, s.url(s.entry.listeners.callers)+"/s/"+service+"/confirm")
}

// call sends calls, with a unique idempotency key if the method is not repeatable.
func (s *testZone) call(method, url string) func(uint64) error {
	return func(uint64) error {
		id := fmt.Sprint("call-", benchID.Add(1))
		header := http.Header{}
		if method == http.MethodPost {
			header.Set(service.IdempotencyKeyHeader, id)
		} else {
			header.Set(service.AttemptHeader, id)
		}
		return s.exchange(method, url, []byte("a slot at nine"), header, `"runs":1`)
	}
}

// exchange makes a request and checks that the complete response contains want.
func (s *testZone) exchange(method, url string, body []byte, header http.Header, want string) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Contains(response, []byte(want)) {
		return fmt.Errorf("status %d: %.300s", resp.StatusCode, response)
	}
	return nil
}
