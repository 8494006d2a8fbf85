package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

// The size that the system must bear: requests per second of the region, its zones, and the memory of a VM
// for control.
const (
	targetRequests = 17_000
	targetZones    = 6
	targetMemory   = 64 << 20
)

// The records of a collector at the target size, of all streams of its own zone and as many of others, take at
// most a quarter of a VM's memory for control.
func TestRecordsOfCollectorFitItsMemory(t *testing.T) {
	window := 25 * time.Second
	start := time.Now()
	before := heap()
	l := newLedger(start)
	perSecond := 2 * targetRequests / targetZones
	stream := uint64(0)
	for second := range 3 * int(window/time.Second) {
		now := start.Add(time.Duration(second) * time.Second)
		l.rotate(now, window)
		for range perSecond {
			stream += 0x9e3779b97f4a7c15
			l.put(now, stream, uint32(stream%3))
		}
	}
	used := heap() - before
	t.Logf("%d records take %.1f MB", len(l.current.records)+len(l.previous.records), float64(used)/(1<<20))
	if used > targetMemory/4 {
		t.Errorf("the records take %d bytes, want at most %d", used, targetMemory/4)
	}
	runtime.KeepAlive(l)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBegan measures the record of a stream at the VM that begins it, with three versions.
func BenchmarkBegan(b *testing.B) {
	vm := New(Config{Window: func() time.Duration { return testWindow }, Publish: (&testVM{region: &testRegion{}}).publish, Peers: nil, Asker: nil})
	d := directory.New(func(_, next *directory.Snapshot) { vm.SetEndpoints(next) })
	for n := range 104 {
		d.Put(directory.Registration{ID: fmt.Sprint("i-", n), Service: "llm", SoftwareVersion: fmt.Sprint("v", n%3)})
	}
	vm.SetCurrent(true)
	r := &relay.Request{ID: "0123456789abcdef", Route: resumableRoute, Service: "llm"}
	for b.Loop() {
		vm.Began(r, directory.Software{Service: "llm", Version: "v1"})
	}
}
