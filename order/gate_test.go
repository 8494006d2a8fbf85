package order

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/peer/controllerpb"
	"github.com/springweir/springweir/table/memtable"
)

// TestDroppedFenceSendsNothing asks a process to drop its authority while a copy is in flight
// and a sender has checked the lease but not yet sent. The process must confirm only once the
// copy has arrived or been lost, and must refuse the paused sender's later send.
func TestDroppedFenceSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := lease.Identity{VM: "vm1", Process: "vm1-1", Address: "vm1:1"}
		gate := NewGate()
		responder := NewResponder(gate, self, Timing{})
		whileLeading := func(ctx context.Context, l *lease.Lease) {
			confirmDropped := func(name string) bool {
				resp, err := responder.ConfirmDropped(ctx, &controllerpb.ConfirmDroppedRequest{
					Pool: l.Pool(), Zone: l.Zone(), Fence: l.Fence(), Process: self.Process, Engine: name,
				})
				return err == nil && resp.GetDropped()
			}
			gate.RevokeOnDrop(l)
			inFlight, err := gate.begin(l, "e")
			if err != nil {
				t.Error(err)
				return
			}
			sending := confirmDropped("e")
			gate.end(inFlight, time.Now().Add(time.Second)) // no response
			unacknowledged := confirmDropped("e")
			other := confirmDropped("another")
			time.Sleep(time.Second)
			lost := confirmDropped("e")
			if diff := cmp.Diff([]bool{false, false, true, true}, []bool{sending, unacknowledged, other, lost}); diff != "" {
				t.Errorf("dropped while sending, unacknowledged, for another engine, lost (-want +got):\n%s", diff)
			}
			var refused *lease.LostError
			if _, err := gate.begin(l, "e"); !errors.As(err, &refused) {
				t.Errorf("a sender that checked its lease before the drop was not refused: %v", err)
			}
		}
		withLease(t, self, memtable.New(), whileLeading)
	})
}

// withLease runs lead once under a lease.
func withLease(t *testing.T, self lease.Identity, svc *memtable.Table, lead func(context.Context, *lease.Lease)) {
	ctx, stop := context.WithCancel(t.Context())
	holder := lease.NewHolder(svc, lease.Config{Pool: "chat", Zone: "a", Identity: self})
	holder.Run(ctx, func(ctx context.Context, l *lease.Lease) {
		lead(ctx, l)
		stop()
	})
}

// TestJournalOpensOneOrder tries to open a second order of an engine, both from the current row
// and from the row version before the first order.
func TestJournalOpensOneOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		j := NewJournal(svc)
		withLease(t, lease.Identity{VM: "vm1", Process: "vm1-1"}, svc, func(ctx context.Context, l *lease.Lease) {
			before := Entry{Engine: "e"}
			first, err := j.Open(ctx, l, before, "vm-e", engine.Order{ID: "one"})
			if err != nil {
				t.Error(err)
				return
			}
			var open *OpenError
			if _, err := j.Open(ctx, l, first, "vm-e", engine.Order{ID: "two"}); !errors.As(err, &open) {
				t.Errorf("opened over an open order: %v", err)
			}
			if _, err := j.Open(ctx, l, before, "vm-e", engine.Order{ID: "two"}); err == nil {
				t.Error("opened over a stale row version")
			}
			if now, err := j.Read(ctx, "e"); err != nil || now.Order.ID != "one" {
				t.Errorf("journal row holds order %q, error %v", now.Order.ID, err)
			}
		})
	})
}
