package peer

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/peer/share"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// listen serves a handler on loopback and returns its address.
func listen(tb testing.TB, h http.Handler, bytes *atomic.Int64) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(countingListener{l, bytes}) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures rounds of pulls in a zone, over real connections, with a new
// report of every engine in each round. One operation is a round of all entries.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ vms, engines int }{{3, 4}, {63, 400}} {
		b.Run(fmt.Sprintf("vms=%d,engines=%d", size.vms, size.engines), func(b *testing.B) {
			benchmarkExchange(b, size.vms, size.engines)
		})
	}
}

func benchmarkExchange(b *testing.B, vms, engines int) {
	var bytes atomic.Int64
	roster, entries := newZone(vms, func(_ string, h http.Handler) string { return listen(b, h, &bytes) },
		func(string) http.RoundTripper { return NewTransport() })
	polled := map[string][]share.Report{}
	for i := range engines {
		name := fmt.Sprintf("engine-%03d", i)
		for _, vm := range roster.Names() {
			if share.ShouldPoll(roster, vm, name, 0) {
				polled[vm] = append(polled[vm], busyReport(name))
			}
		}
	}
	round := func() {
		for _, e := range entries {
			e.reports.Publish(polled[e.member.Name()])
		}
		for turn := range share.PullsPerRound(vms) {
			for _, e := range entries {
				vm, _ := share.Partner(roster, e.member.Name(), turn)
				if _, err := e.client.Exchange(b.Context(), vm); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	round() // open the connections
	bytes.Store(0)
	cpu := cpuTime()
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.StopTimer()
	rounds := float64(b.N) * float64(vms)
	pulls := rounds * float64(share.PullsPerRound(vms))
	period := share.PullInterval(vms) * time.Duration(share.PullsPerRound(vms))
	b.ReportMetric(float64(bytes.Load())/pulls, "bytes/pull")
	// Each byte is sent by one entry and received by another.
	b.ReportMetric(2*float64(bytes.Load())/rounds/period.Seconds(), "bytes/s/node")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/pulls, "cpu-us/pull")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/rounds/period.Seconds(), "%core/node")
	if got := len(entries[0].reports.Reports()); got != engines {
		b.Fatalf("%d reports after the rounds, want %d", got, engines)
	}
}

// busyReport returns the report of a busy engine.
func busyReport(name string) share.Report {
	return share.Report{
		Endpoint: share.Hash(name), Identity: share.Hash(name + "'s start"), Role: engine.Mixed,
		Load: engine.Load{
			Waiting: 12, Running: 64, WaitingTokens: 40_000, DecodeTokens: 300_000,
			KVUsed: 350_000, AgeMillis: 250, Sequence: 86_400,
		},
	}
}
