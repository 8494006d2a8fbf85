package loadshare

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// A VM is behind from the time at which a round is long overdue until a marker is processed that was sent after
// that round, or for maxCatchUp.
func TestStallDetector(t *testing.T) {
	const interval = 10 * time.Millisecond
	d, start := &stallDetector{}, time.Now()
	check := func(after time.Duration, want bool) {
		t.Helper()
		if got := d.isBehind(start.Add(after)); got != want {
			t.Errorf("after %v: %t", after, got)
		}
	}
	check(time.Hour, false) // before the first round
	d.expect(start, interval)
	check(0, false)
	check(interval, false)
	check(interval+minStall-1, false)
	check(interval+minStall, true)
	check(time.Second, true)
	d.expect(start.Add(time.Second), interval)
	check(time.Second, true)
	for at := time.Second + interval; at < time.Second+maxCatchUp; at += interval {
		d.expect(start.Add(at), interval)
	}
	check(time.Second+maxCatchUp-1, true)
	check(time.Second+maxCatchUp, false)
	d.reach(start.Add(time.Second - 1)) // sent before the end of the stall
	check(time.Second+interval, true)
	d.reach(start.Add(time.Second))
	check(time.Second+interval, false)
}

// Guards against a VM that was suspended and goes on before it has processed what the others announced
// meanwhile: the time that this takes depends on how busy the machine is.
func TestStalledVMProcessesWhatHasArrived(t *testing.T) {
	const announcements = 60
	gate := make(chan struct{})
	var mu sync.Mutex
	processed := 0
	x := New(Config{
		VM: "vm", Zone: "z", Address: freeAddress(t), LocalReport: func() Report { <-gate; return Report{} }, OnLoad: func(*sharepb.Load) {},
		OnAnnouncement: func(Announcement) {
			<-gate
			time.Sleep(time.Millisecond) // as beside load
			mu.Lock()
			defer mu.Unlock()
			processed++
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	eventually(t, "the socket", func() bool { return x.conn.Load() != nil })
	socket, err := net.Dial("udp4", x.cfg.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for i := range announcements {
		data, err := proto.Marshal(&sharepb.Load{Vm: "other", Zone: "z", Boot: 1, Sequence: uint64(i + 1), NoWork: true, Cleared: [][]byte{{byte(i)}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := socket.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the process to be stalled", func() bool { return x.stall.isBehind(time.Now()) })
	close(gate)
	x.AwaitCatchUp()
	mu.Lock()
	defer mu.Unlock()
	if processed != announcements {
		t.Errorf("%d of %d announcements were processed", processed, announcements)
	}
}
