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

// TestDroppedFenceSendsNothing asks a process to drop its authority while a copy
// is on its way and a sender stands between its look at the lease and its send.
// The process says dropped only once the copy has arrived or been lost, and the
// sender that goes on after the question is refused.
func TestDroppedFenceSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := lease.Identity{VM: "vm1", Process: "vm1-1", Address: "vm1:1"}
		gate := NewGate()
		answers := NewResponder(gate, self, Timing{})
		lead := func(ctx context.Context, l *lease.Lease) {
			ask := func(name string) bool {
				answer, err := answers.ConfirmDropped(ctx, &controllerpb.ConfirmDroppedRequest{
					Pool: l.Pool(), Zone: l.Zone(), Fence: l.Fence(), Process: self.Process, Engine: name,
				})
				return err == nil && answer.GetDropped()
			}
			gate.Watch(l)
			copies, err := gate.enter(l, "e")
			if err != nil {
				t.Error(err)
				return
			}
			sending := ask("e")
			gate.leave(copies, time.Now().Add(time.Second)) // no answer came
			unanswered := ask("e")
			other := ask("another")
			time.Sleep(time.Second)
			lost := ask("e")
			if diff := cmp.Diff([]bool{false, false, true, true}, []bool{sending, unanswered, other, lost}); diff != "" {
				t.Errorf("dropped while sending, unanswered, for another engine, lost (-want +got):\n%s", diff)
			}
			var refused *lease.LostError
			if _, err := gate.enter(l, "e"); !errors.As(err, &refused) {
				t.Errorf("a sender that looked at its lease before got past: %v", err)
			}
		}
		withLease(t, self, memtable.New(), lead)
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

// TestJournalOpensOneOrder tries to open a second order of an engine, from the
// row as it stands and from the row as it was before.
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
				t.Error("opened over a row that it had not read")
			}
			if now, err := j.Read(ctx, "e"); err != nil || now.Order.ID != "one" {
				t.Errorf("the row holds %q, %v", now.Order.ID, err)
			}
		})
	})
}
