package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/standin/enginemodel"
	standinservice "github.com/springweir/springweir/standin/service"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// slowEngines makes the longest response take about ten seconds.
const slowEngines = 0.2

// longPrompt returns a prompt for which the stand-in generates a long response.
func longPrompt() string {
	for n := 0; ; n++ {
		prompt := fmt.Sprint("How tall may the container be? ", n)
		if tokens, _ := enginemodel.AnswerTokens("user: "+prompt+"\nassistant: ", 0); tokens > 110 {
			return prompt
		}
	}
}

// stopSample is the externally visible state at one point of a planned stop.
type stopSample struct {
	// Ready is the status of the health check, Call that of a new call, and Hop that of a
	// call forwarded by another zone's entry; zero means no response.
	Ready, Call, Hop int
	// Room reports whether capacity is offered to other zones.
	Room bool
	// Left reports whether the VM is off the roster, or marked as leaving it.
	Left bool
	// Open reports whether the stream is still running.
	Open bool
}

// sample collects the state from outside. The roster is read from the table.
func (s *testZone) sample(stream <-chan string) stopSample {
	s.tb.Helper()
	rows, err := s.rows.Get(s.tb.Context(), contact.Key("a"))
	if err != nil {
		s.tb.Fatal(err)
	}
	roster, err := contact.Decode(rows[0].Value)
	if err != nil {
		s.tb.Fatal(err)
	}
	vm, listed := roster.Find("vm1")
	rates := request{method: http.MethodGet, path: "/s/rates/parity"}
	call, _, _ := s.do(s.tb.Context(), rates)
	rates.to = s.entry.listeners.peers
	rates.header = map[string]string{wire.HeaderHop: "b", wire.HeaderAttempt: "hop.1"}
	hop, _, _ := s.do(s.tb.Context(), rates)
	room, err := peer.ViewAt(s.entry.process.Peers, s.client.Transport).Room(s.tb.Context(), &viewpb.RoomRequest{})
	if err != nil {
		s.tb.Fatal(err)
	}
	return stopSample{
		Room:  room.Tokens > 0,
		Ready: s.get(s.entry.listeners.metrics, "/readyz"),
		Call:  call,
		Hop:   hop,
		Left:  !listed || vm.Left,
		Open:  len(stream) == 0,
	}
}

// TestPlannedStop checks the order of a planned stop: the health check fails first,
// requests that the load balancer still sends are served, then no new request is accepted,
// the open stream completes, and the VM leaves the roster.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.speed = slowEngines
		s := newTestZone(t, o)
		stream := make(chan string, 1)
		go func() {
			_, body, _ := s.do(t.Context(), chatRequest(longPrompt(), 127, true))
			stream <- body
		}()
		time.Sleep(500 * time.Millisecond)
		s.checkSample("serving", stream, stopSample{Room: true, Ready: 200, Call: 200, Hop: 200, Open: true})
		s.stop()
		time.Sleep(100 * time.Millisecond)
		s.checkSample("just after the stop began", stream, stopSample{Ready: 503, Call: 200, Hop: 200, Open: true})
		time.Sleep(o.balancerDelay - 200*time.Millisecond)
		s.checkSample("within the balancer's delay", stream, stopSample{Ready: 503, Call: 200, Hop: 200, Open: true})
		time.Sleep(200 * time.Millisecond)
		s.checkSample("after the balancer's delay", stream, stopSample{Ready: 503, Hop: 503, Open: true})
		body := <-stream
		time.Sleep(time.Second)
		stream <- body
		s.checkSample("after the stream", stream, stopSample{Ready: 503, Hop: 503, Left: true})
		if !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("the stream ended with %q", body[max(0, len(body)-100):])
		}
		s.shutDown()
		s.checkNothingReserved()
	})
}

func (s *testZone) checkSample(when string, stream <-chan string, want stopSample) {
	s.tb.Helper()
	if diff := cmp.Diff(want, s.sample(stream)); diff != "" {
		s.tb.Errorf("%s (-want +got):\n%s", when, diff)
	}
}

// TestPlannedStopServesQueuedRequests checks that requests which are still queued for an
// engine when the load balancer's delay has passed are served.
func TestPlannedStopServesQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines = 1
		o.balancerDelay = time.Second
		s := newTestZone(t, o)
		prompt := strings.Repeat("The permit of the municipality says. ", 220)
		statuses := make(chan int, queuedRequests)
		for n := range queuedRequests {
			go func() {
				status, _, _ := s.do(t.Context(), chatRequest(fmt.Sprint(n, prompt), 16, false))
				statuses <- status
			}()
		}
		time.Sleep(500 * time.Millisecond)
		s.stop()
		time.Sleep(o.balancerDelay + 100*time.Millisecond)
		if s.entry.upstreams.waiting() == 0 {
			t.Error("nothing is queued after the balancer's delay: the test is ineffective")
		}
		got := map[int]int{}
		for range queuedRequests {
			got[<-statuses]++
		}
		if diff := cmp.Diff(map[int]int{http.StatusOK: queuedRequests}, got); diff != "" {
			t.Errorf("responses by status (-want +got):\n%s", diff)
		}
		s.shutDown()
		s.checkNothingReserved()
	})
}

// queuedRequests is a number of long prompts that takes one engine several seconds.
const queuedRequests = 20

// removeLeavingVMs immediately removes leaving VMs from the roster, in place of the zone's
// controller.
func (s *testZone) removeLeavingVMs(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		rows, err := s.rows.Get(ctx, contact.Key("a"))
		if err != nil {
			continue
		}
		roster, err := contact.Decode(rows[0].Value)
		if vm, _ := roster.Find("vm1"); err != nil || !vm.Left {
			continue
		}
		roster.Revision++
		roster.VMs = nil
		_, _ = s.rows.Commit(ctx, table.Txn{
			Checks: []table.Check{{Key: rows[0].Key, Version: rows[0].Version}},
			Writes: []table.Write{{Key: rows[0].Key, Value: roster.Encode()}},
		}) // retried in the next round
	}
}

// TestPlannedStopStoresResponses checks that a planned stop waits until the response of a
// completed call is stored, although the table was down when the call completed and accepts
// writes of claims only after the VM has left the roster.
func TestPlannedStopStoresResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestZone(t, inMemoryOptions())
		ctx, cancel := context.WithCancel(t.Context())
		go s.removeLeavingVMs(ctx)
		s.services.Set(standinservice.Slow, 300*time.Millisecond, 0)
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.rows.SetDown(true)
			time.Sleep(2 * time.Second)
			s.rows.SetDown(false)
		}()
		start := time.Now()
		s.rows.SetHook(func(c memtable.Call) memtable.Fault {
			claims := c.Op == memtable.OpCommit && c.Txn.Writes[0].Key.Table == claim.Table
			down := time.Since(start) > 100*time.Millisecond && time.Since(start) < 6*time.Second
			return memtable.Fault{Fail: claims && down}
		})
		status, _, err := s.do(t.Context(), request{
			method: http.MethodPost, path: "/s/slots/confirm", body: "a slot at nine",
			header: map[string]string{"Idempotency-Key": "k1"},
		})
		if status != http.StatusOK || err != nil {
			t.Fatalf("status %d, error %v", status, err)
		}
		s.shutDown()
		cancel()
		rows, err := s.rows.Scan(t.Context(), claim.Table, "", "", 10) // the process has exited
		defer time.Sleep(time.Minute)
		if err != nil || len(rows) != 1 {
			t.Fatalf("%d claims, error %v", len(rows), err)
		}
		if !strings.Contains(string(rows[0].Value), `"done"`) {
			t.Errorf("the claim is %s, want it done", rows[0].Value)
		}
	})
}

// TestSocketErrorEndsRun checks that an entry whose callers' listener has failed stops and
// returns the error, instead of continuing without serving callers.
func TestSocketErrorEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestZone(t, inMemoryOptions())
		_ = s.entry.listeners.callers.Close()
		time.Sleep(time.Minute)
		select {
		case err := <-s.ended:
			if err == nil {
				t.Error("Run ended without an error")
			}
			s.ended <- nil
		default:
			t.Error("Run has not returned")
		}
		s.shutDown()
	})
}
