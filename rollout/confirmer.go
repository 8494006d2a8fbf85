package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Timing of the confirmer.
const (
	// confirmPoll is between two reads of the head by a zone's confirmer, and
	// pendingPoll while a version is on its way.
	confirmPollInterval = time.Second
	pendingPollInterval = 500 * time.Millisecond
	// reportInterval is between two writes about a version that is on its way.
	reportInterval = 2 * time.Second
)

// Confirmer brings new versions to the VMs of one zone, under the zone's
// lease, and writes that they are in force there.
//
// Invariant: the zone's row names a version only if all VMs of the zone's
// roster have it in force. Versions never go down and a VM joins only with the
// head in force, so the write is right whenever it takes effect, also from a
// confirmer that was paused and has lost its lease. The check of the roster's
// row makes each write a statement about one roster; the check of the lease
// keeps two confirmers from writing in turns.
type Confirmer struct {
	zone    string
	rows    table.Service
	store   *Store
	peers   Pusher
	auth    contact.Authority
	writeID func() string
	// suspect is told which VMs could not be reached.
	suspect func(names []string)

	// newest is the last document loaded. patch leads to it from the one loaded
	// before, whole from nothing.
	newest      Document
	patch, full Update
	// confirmed is the newest version seen confirmed for the zone.
	confirmed Version
	// lacking names the VMs that did not have the version lacked when last asked.
	missingVersion Version
	missing        []string
	lastReport     time.Time
}

// NewConfirmer returns the confirmer of a zone. suspect is told which VMs could
// not be reached (contact.Reconciler.Suspect); writeID gives a new id for each call.
func NewConfirmer(zone string, rows table.Service, store *Store, peers Pusher, auth contact.Authority, suspect func([]string), writeID func() string) *Confirmer {
	return &Confirmer{zone: zone, rows: rows, store: store, peers: peers, auth: auth, suspect: suspect, writeID: writeID}
}

// Run confirms versions until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.Step(ctx)
		countConfirmation(err)
		if err != nil {
			klog.V(1).Infof("rollout: zone %s not confirmed: %v", c.zone, err)
		}
		pause := confirmPollInterval
		if err != nil {
			pause = pendingPollInterval
		}
		loop.Sleep(ctx, pause)
	}
}

// Step brings the newest version to the zone and confirms it if it can. The
// error is *contact.UnstableError when VMs are missing.
//
// The roster is read before the VMs are asked and checked unchanged by the
// write, so a VM that joins meanwhile makes the write conflict.
func (c *Confirmer) Step(ctx context.Context) error {
	checks, err := c.auth.Checks()
	if err != nil {
		return err
	}
	if found, err := c.hasNewVersion(ctx); err != nil || !found {
		return err
	}
	zone, err := c.readZone(ctx)
	if err != nil || zone.newest <= zone.acked.Version || len(zone.roster.VMs) == 0 {
		return err
	}
	checks = append(checks, zone.checks...)
	err = c.push(ctx, zone.roster, zone.newest)
	var unstable *contact.UnstableError
	switch {
	case err == nil:
		return c.confirm(ctx, checks, zone.newest)
	case errors.As(err, &unstable):
		c.missingVersion, c.missing = zone.newest, unstable.Missing
		c.suspect(slices.DeleteFunc(slices.Clone(unstable.Missing), func(name string) bool { return !zone.roster.IsActive(name) }))
		now := ack{Version: zone.acked.Version, Pending: zone.newest, Missing: unstable.Missing}
		return c.report(ctx, checks, zone.acked, now, err)
	default:
		return err
	}
}

// standing is how far the zone is behind the head, read in one snapshot.
type zoneState struct {
	newest Version
	roster contact.Roster
	acked  ack
	// checks hold the roster's row and the acknowledgement unchanged.
	checks []table.Check
}

func (c *Confirmer) readZone(ctx context.Context) (zoneState, error) {
	rows, err := c.rows.Get(ctx, HeadKey(), contact.Key(c.zone), AckKey(c.zone))
	if err != nil {
		return zoneState{}, eris.Wrap(err, "read head, roster and acknowledgement")
	}
	h, err := decodeRow[head](rows[0])
	if err != nil {
		return zoneState{}, err
	}
	roster, err := contact.Decode(rows[1].Value)
	if err != nil {
		return zoneState{}, err
	}
	acked, err := decodeRow[ack](rows[2])
	if err != nil {
		return zoneState{}, err
	}
	c.confirmed = max(c.confirmed, acked.Version)
	checks := []table.Check{
		{Key: rows[1].Key, Version: rows[1].Version},
		{Key: rows[2].Key, Version: rows[2].Version},
	}
	return zoneState{newest: h.Version, roster: roster, acked: acked, checks: checks}, nil
}

// confirm writes that version v is in force in the zone.
func (c *Confirmer) confirm(ctx context.Context, checks []table.Check, v Version) error {
	if err := c.write(ctx, checks, ack{Version: v}); err != nil {
		return err
	}
	c.confirmed = v
	return nil
}

// news tells whether there may be a version to confirm. It reads the head alone,
// since the roster of a large zone is long: what a zone has confirmed never goes
// down.
func (c *Confirmer) hasNewVersion(ctx context.Context) (bool, error) {
	rows, err := c.rows.Get(ctx, HeadKey())
	if err != nil {
		return false, eris.Wrap(err, "read head")
	}
	h, err := decodeRow[head](rows[0])
	return h.Version > c.confirmed, err
}

// push brings version v to the VMs and returns nil once all have it in force
// in two stable rounds. VMs that lacked it are asked alone until they have it,
// and nobody is asked while one of them is shunned: there is nothing to confirm
// until the keeper has dropped that VM or taken it back.
func (c *Confirmer) push(ctx context.Context, r contact.Roster, v Version) error {
	missing := c.missingVMs(r, v)
	if excluded := excludedVMs(missing); len(excluded) > 0 {
		return &contact.UnstableError{Missing: vmNames(excluded)}
	}
	if err := c.load(ctx, v); err != nil {
		return err
	}
	apply := func(ctx context.Context, vm contact.VM) (contact.Ack, error) {
		a, err := c.peers.ApplyConfig(ctx, vm, c.patch)
		if err == nil && a.Config < uint64(v) && c.patch.Base != None {
			return c.peers.ApplyConfig(ctx, vm, c.full)
		}
		return a, err
	}
	sufficient := func(a contact.Ack) bool { return a.Config >= uint64(v) }
	if err := contact.ConfirmOnce(ctx, missing, apply, sufficient); err != nil {
		return err
	}
	return contact.ConfirmStable(ctx, r.VMs, apply, c.peers.Probe, sufficient)
}

// late returns the VMs of the roster that lacked version v when last asked.
func (c *Confirmer) missingVMs(r contact.Roster, v Version) []contact.VM {
	var vms []contact.VM
	for _, vm := range r.VMs {
		if c.missingVersion == v && slices.Contains(c.missing, vm.Name) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// shunned returns those that are shunned but do not leave by plan. A leaving VM
// answers until it is off the roster.
func excludedVMs(vms []contact.VM) []contact.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm contact.VM) bool { return !vm.Excluded() || vm.Left })
}

func vmNames(vms []contact.VM) []string { return contact.Roster{VMs: vms}.Names() }

// load reads version v unless it is the last one read.
func (c *Confirmer) load(ctx context.Context, v Version) error {
	if c.newest.Version == v {
		return nil
	}
	doc, err := c.store.Load(ctx, v)
	if err != nil {
		return err
	}
	c.patch = NewUpdate(c.newest, doc)
	c.full = NewUpdate(Document{}, doc)
	c.newest = doc
	return nil
}

// report writes which VMs keep a version from being confirmed, now and then.
func (c *Confirmer) report(ctx context.Context, checks []table.Check, old, now ack, cause error) error {
	same := old.Pending == now.Pending && slices.Equal(old.Missing, now.Missing)
	if same || clock.Since(c.lastReport) < reportInterval {
		return cause
	}
	c.lastReport = clock.Now()
	if err := c.write(ctx, checks, now); err != nil {
		return err
	}
	return cause
}

func (c *Confirmer) write(ctx context.Context, checks []table.Check, a ack) error {
	a.WriteID = c.writeID()
	write := table.Write{Key: AckKey(c.zone), Value: encodeRow(a)}
	if _, err := c.rows.Commit(ctx, table.Txn{Checks: checks, Writes: []table.Write{write}}); err != nil {
		return eris.Wrap(err, "write acknowledgement")
	}
	return nil
}
