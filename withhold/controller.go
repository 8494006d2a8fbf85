package withhold

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Timing of the controller.
const (
	// confirmInterval is between two rounds of asking the entries.
	confirmInterval = 250 * time.Millisecond
	// maxConfirmInterval bounds it while a long stream is let finish.
	maxConfirmInterval = 2 * time.Second
	// conflictPause is between two tries to write the roster.
	conflictPause = 50 * time.Millisecond
)

// EntryState is what an entry says about an endpoint.
type EntryState struct {
	// Instance is unique for each start of the entry's process.
	Instance uint64
	State
}

// Peers asks the zone's entries. Implementations never repeat a call by
// themselves and bound its time.
type Peers interface {
	// Withhold stops new work to the endpoint.
	Withhold(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (EntryState, error)
	// Restore allows new work to the endpoint.
	Restore(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (EntryState, error)
}

// Endpoints asks an endpoint itself how many streams are open there. A kind of
// endpoint that cannot say returns zero.
type Endpoints interface {
	Streams(ctx context.Context, endpoint string) (int, error)
}

// Controller withholds endpoints of one zone, under the zone's lease. It is
// safe for concurrent use.
//
// The mark goes into the roster before the entries are asked. So a VM that
// joins, or a process that restarts, holds it before it serves, and a
// successor finds it. Once every VM of that roster has answered in two stable
// rounds that it withholds the endpoint and runs nothing there, no entry of
// the zone can send to it until it is restored.
type Controller struct {
	zone      string
	rows      table.Service
	peers     Peers
	endpoints Endpoints
	auth      contact.Authority
	writeID   func() string

	// mu guards waiting. It is a leaf.
	mu      sync.Mutex
	waiting map[string]*WaitingError
}

// NewController returns the controller of a zone's endpoints. writeID gives a
// new id for each call.
func NewController(zone string, rows table.Service, peers Peers, endpoints Endpoints, auth contact.Authority, writeID func() string) *Controller {
	return &Controller{
		zone: zone, rows: rows, peers: peers, endpoints: endpoints, auth: auth, writeID: writeID,
		waiting: map[string]*WaitingError{},
	}
}

// Withhold returns nil once no entry of the zone can send to the endpoint and
// none has work there. It waits for entries that do not answer, for as long as
// they are on the roster, and for streams to finish. The error is
// *WaitingError when ctx ends first, *RestoredError, or the authority's.
func (c *Controller) Withhold(ctx context.Context, endpoint string) error {
	roster, err := c.edit(ctx, func(r contact.Roster) (contact.Roster, bool) {
		_, marked := r.WithheldEpoch(endpoint)
		return r.Withhold(endpoint), !marked
	})
	if err != nil {
		return err
	}
	defer c.setWaiting(endpoint, nil)
	for pause := confirmInterval; ; pause = min(2*pause, maxConfirmInterval) {
		waiting := c.confirm(ctx, roster, endpoint)
		if waiting == nil {
			return nil
		}
		countWait(waiting)
		c.setWaiting(endpoint, waiting)
		if !loop.Sleep(ctx, pause) {
			return eris.Wrap(waiting, "withhold")
		}
		if roster, err = c.reread(ctx, roster, endpoint); err != nil {
			return err
		}
	}
}

// confirm asks the entries and then the endpoint. The endpoint comes last: its
// count then covers an entry that was dropped from the roster with a stream
// still running.
func (c *Controller) confirm(ctx context.Context, r contact.Roster, endpoint string) *WaitingError {
	epoch, _ := r.WithheldEpoch(endpoint)
	ask := func(ctx context.Context, vm contact.VM) (contact.Ack, error) {
		a, err := c.peers.Withhold(ctx, vm, endpoint, epoch)
		if err != nil {
			return contact.Ack{}, err
		}
		ack := contact.Ack{Instance: a.Instance}
		if a.Withheld && a.Epoch >= epoch && a.Streams == 0 {
			ack.Roster = a.Epoch
		}
		return ack, nil
	}
	drained := func(a contact.Ack) bool { return a.Roster >= epoch }
	var unstable *contact.UnstableError
	if err := contact.ConfirmStable(ctx, r.VMs, ask, ask, drained); errors.As(err, &unstable) {
		return &WaitingError{Endpoint: endpoint, VMs: unstable.Missing}
	}
	n, err := c.endpoints.Streams(ctx, endpoint)
	switch {
	case err != nil:
		return &WaitingError{Endpoint: endpoint, Unresponsive: true}
	case n > 0:
		return &WaitingError{Endpoint: endpoint, Streams: n}
	default:
		return nil
	}
}

// reread returns the newest roster, or the old one while the table is out of
// reach: marks and VMs only ever come by a write of the roster, and the
// confirmation asks for nothing that a newer roster could take back.
func (c *Controller) reread(ctx context.Context, old contact.Roster, endpoint string) (contact.Roster, error) {
	r, _, err := c.read(ctx)
	if err != nil {
		return old, nil
	}
	if _, marked := r.WithheldEpoch(endpoint); !marked {
		return r, &RestoredError{Endpoint: endpoint}
	}
	return r, nil
}

// Restore allows new work to the endpoint again. An entry that misses the
// message learns it with its next roster.
func (c *Controller) Restore(ctx context.Context, endpoint string) error {
	roster, err := c.edit(ctx, func(r contact.Roster) (contact.Roster, bool) {
		_, marked := r.WithheldEpoch(endpoint)
		return r.Restore(endpoint), marked
	})
	if err != nil {
		return err
	}
	contact.Collect(ctx, roster.VMs, func(ctx context.Context, vm contact.VM) (contact.Ack, error) {
		_, err := c.peers.Restore(ctx, vm, endpoint, roster.Revision)
		return contact.Ack{}, err
	})
	return nil
}

// RestoreUnwanted restores every endpoint that a predecessor withheld and
// nobody wants withheld now. A successor calls it once the open orders of its
// predecessor are resolved, and then now and then.
func (c *Controller) RestoreUnwanted(ctx context.Context, wanted func(endpoint string) bool) error {
	r, _, err := c.read(ctx)
	if err != nil {
		return err
	}
	for _, w := range r.Withheld {
		if wanted(w.Endpoint) {
			continue
		}
		klog.Infof("withhold: %s is restored, as nobody wants it withheld", w.Endpoint)
		if err := c.Restore(ctx, w.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Waiting returns what the withholding of the endpoint waits for, or nil.
func (c *Controller) Waiting(endpoint string) *WaitingError {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting[endpoint]
}

func (c *Controller) setWaiting(endpoint string, w *WaitingError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w == nil {
		delete(c.waiting, endpoint)
		return
	}
	old := c.waiting[endpoint]
	c.waiting[endpoint] = w
	if old == nil || !slices.Equal(old.VMs, w.VMs) {
		klog.Infof("withhold: %v", w)
	}
}

// edit changes the roster by compare-and-swap, under the lease, and returns
// the one that stands. change tells whether there is anything to write. A
// write whose answer was lost needs no settling: the next read shows whether
// the change stands.
func (c *Controller) edit(ctx context.Context, change func(contact.Roster) (contact.Roster, bool)) (contact.Roster, error) {
	for {
		checks, err := c.auth.Checks()
		if err != nil {
			return contact.Roster{}, err
		}
		old, row, err := c.read(ctx)
		if err != nil {
			return contact.Roster{}, err
		}
		next, changed := change(old)
		if !changed {
			return old, nil
		}
		next.WriteID = c.writeID()
		checks = append(checks, table.Check{Key: row.Key, Version: row.Version})
		write := table.Write{Key: row.Key, Value: next.Encode()}
		_, err = c.rows.Commit(ctx, table.Txn{Checks: checks, Writes: []table.Write{write}})
		var conflict *table.ConflictError
		var unknown *table.UnknownError
		if err == nil {
			return next, nil
		}
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return contact.Roster{}, eris.Wrap(err, "write roster")
		}
		if !loop.Sleep(ctx, conflictPause) {
			return contact.Roster{}, eris.Wrap(err, "write roster")
		}
	}
}

func (c *Controller) read(ctx context.Context) (contact.Roster, table.Row, error) {
	rows, err := c.rows.Get(ctx, contact.Key(c.zone))
	if err != nil {
		return contact.Roster{}, table.Row{}, eris.Wrap(err, "read roster")
	}
	r, err := contact.Decode(rows[0].Value)
	return r, rows[0], err
}
