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
	// confirmInterval is the initial interval between two rounds of queries to the entries.
	confirmInterval = 250 * time.Millisecond
	// maxConfirmInterval bounds the interval while a long stream finishes.
	maxConfirmInterval = 2 * time.Second
	// conflictDelay is the delay between two attempts to write the roster.
	conflictDelay = 50 * time.Millisecond
)

// EntryState is an entry's reported state of an endpoint.
type EntryState struct {
	// Instance is unique for each start of the entry's process.
	Instance uint64
	State
}

// Peers sends requests to the zone's entries. Implementations never retry a request and bound its
// time.
type Peers interface {
	// Withhold stops new work to the endpoint.
	Withhold(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (EntryState, error)
	// Restore allows new work to the endpoint.
	Restore(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (EntryState, error)
}

// Endpoints queries an endpoint for its number of open streams. For a kind of endpoint that cannot
// report it, Streams returns zero.
type Endpoints interface {
	Streams(ctx context.Context, endpoint string) (int, error)
}

// Controller withholds endpoints of one zone, under the zone's lease. It is safe for concurrent
// use.
//
// The mark is written to the roster before the entries are queried, so that a VM that joins or a
// process that restarts has it before it serves, and a successor finds it. Once every VM of that
// roster has reported in two stable rounds that it withholds the endpoint and runs nothing there,
// no entry of the zone can send to the endpoint until it is restored.
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

// NewController returns the controller of a zone's endpoints. writeID must return a new ID for each
// call.
func NewController(zone string, rows table.Service, peers Peers, endpoints Endpoints, auth contact.Authority, writeID func() string) *Controller {
	return &Controller{
		zone: zone, rows: rows, peers: peers, endpoints: endpoints, auth: auth, writeID: writeID,
		waiting: map[string]*WaitingError{},
	}
}

// Withhold returns nil once no entry of the zone can send to the endpoint and none has work there.
// It waits for entries that do not respond, as long as they are on the roster, and for streams to
// finish. The error is *WaitingError if ctx ends first, *RestoredError, or an error of the
// authority or the table.
func (c *Controller) Withhold(ctx context.Context, endpoint string) error {
	roster, err := c.updateRoster(ctx, func(r contact.Roster) (contact.Roster, bool) {
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
		if roster, err = c.refreshRoster(ctx, roster, endpoint); err != nil {
			return err
		}
	}
}

// confirm queries the entries and then the endpoint. The endpoint is last so that its count covers
// an entry that was dropped from the roster with a stream still running.
func (c *Controller) confirm(ctx context.Context, r contact.Roster, endpoint string) *WaitingError {
	epoch, _ := r.WithheldEpoch(endpoint)
	query := func(ctx context.Context, vm contact.VM) (contact.Ack, error) {
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
	if err := contact.ConfirmStable(ctx, r.VMs, query, query, drained); errors.As(err, &unstable) {
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

// refreshRoster returns the newest roster, or the old one while the table is unavailable. The old
// one is safe to use: marks and VMs are only added by writes of the roster, and a newer roster
// cannot revoke what confirm requires.
func (c *Controller) refreshRoster(ctx context.Context, old contact.Roster, endpoint string) (contact.Roster, error) {
	r, _, err := c.readRoster(ctx)
	if err != nil {
		return old, nil
	}
	if _, marked := r.WithheldEpoch(endpoint); !marked {
		return r, &RestoredError{Endpoint: endpoint}
	}
	return r, nil
}

// Restore allows new work to the endpoint again. An entry that misses the message applies the
// change with its next roster.
func (c *Controller) Restore(ctx context.Context, endpoint string) error {
	roster, err := c.updateRoster(ctx, func(r contact.Roster) (contact.Roster, bool) {
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

// RestoreUnwanted restores every endpoint that a predecessor withheld and for which wanted returns
// false. A successor calls it once the open orders of its predecessor are resolved, and
// periodically after that.
func (c *Controller) RestoreUnwanted(ctx context.Context, wanted func(endpoint string) bool) error {
	r, _, err := c.readRoster(ctx)
	if err != nil {
		return err
	}
	for _, w := range r.Withheld {
		if wanted(w.Endpoint) {
			continue
		}
		klog.Infof("withhold: restoring %s, which no longer needs to be withheld", w.Endpoint)
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

// updateRoster changes the roster by compare-and-swap, under the lease, and returns the current
// one. change reports whether there is anything to write. A write whose response was lost needs no
// resolution: the next read shows whether the change was applied.
func (c *Controller) updateRoster(ctx context.Context, change func(contact.Roster) (contact.Roster, bool)) (contact.Roster, error) {
	for {
		checks, err := c.auth.Checks()
		if err != nil {
			return contact.Roster{}, err
		}
		old, row, err := c.readRoster(ctx)
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
		if !loop.Sleep(ctx, conflictDelay) {
			return contact.Roster{}, eris.Wrap(err, "write roster")
		}
	}
}

func (c *Controller) readRoster(ctx context.Context) (contact.Roster, table.Row, error) {
	rows, err := c.rows.Get(ctx, contact.Key(c.zone))
	if err != nil {
		return contact.Roster{}, table.Row{}, eris.Wrap(err, "read roster")
	}
	r, err := contact.Decode(rows[0].Value)
	return r, rows[0], err
}
