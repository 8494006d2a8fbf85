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
	// confirmPollInterval is the time between two reads of the head by a zone's confirmer, and
	// pendingPollInterval the time while a version is pending.
	confirmPollInterval = time.Second
	pendingPollInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports about a pending version.
	reportInterval = 2 * time.Second
)

// Confirmer distributes new versions to the VMs of one zone, under the zone's lease, and
// records in the table that they are in effect there.
//
// Invariant: the zone's row names a version only if all VMs of the zone's roster have it in
// effect. Versions never decrease and a VM joins only with the head in effect, so the write is
// correct whenever it takes effect, even from a confirmer that was paused and has lost its
// lease. The check of the roster's row ties each write to one roster; the check of the lease
// prevents two confirmers from overwriting each other in turn.
type Confirmer struct {
	zone    string
	rows    table.Service
	store   *Store
	peers   Pusher
	auth    contact.Authority
	writeID func() string
	// suspect receives the names of VMs that could not be reached.
	suspect func(names []string)

	// newest is the last document loaded. patch is the update to it from the previously loaded
	// document, full the update with its full text.
	newest      Document
	patch, full Update
	// confirmed is the newest version known to be confirmed for the zone.
	confirmed Version
	// missing names the VMs that did not have missingVersion when last queried.
	missingVersion Version
	missing        []string
	lastReport     time.Time
}

// NewConfirmer returns the confirmer of a zone. suspect receives the names of VMs that could
// not be reached (contact.Reconciler.Suspect); writeID returns a new ID on each call.
func NewConfirmer(zone string, rows table.Service, store *Store, peers Pusher, auth contact.Authority, suspect func([]string), writeID func() string) *Confirmer {
	return &Confirmer{zone: zone, rows: rows, store: store, peers: peers, auth: auth, suspect: suspect, writeID: writeID}
}

// Run confirms versions until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.Step(ctx)
		countConfirmation(err)
		if err != nil {
			klog.V(1).Infof("rollout: confirming the version of zone %s failed: %v", c.zone, err)
		}
		pause := confirmPollInterval
		if err != nil {
			pause = pendingPollInterval
		}
		loop.Sleep(ctx, pause)
	}
}

// Step distributes the newest version to the zone and confirms it if all VMs have it. The error
// is *contact.UnstableError if VMs are missing.
//
// The roster is read before the VMs are queried, and the write checks that it is unchanged, so
// a VM that joins in between makes the write conflict.
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

// zoneState is the head and the zone's progress towards it, read in one snapshot.
type zoneState struct {
	newest Version
	roster contact.Roster
	acked  ack
	// checks make a write fail if the roster's row or the acknowledgement has changed.
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

// confirm writes that version v is in effect in the zone.
func (c *Confirmer) confirm(ctx context.Context, checks []table.Check, v Version) error {
	if err := c.write(ctx, checks, ack{Version: v}); err != nil {
		return err
	}
	c.confirmed = v
	return nil
}

// hasNewVersion reports whether there may be a version to confirm. It reads only the head,
// since the roster of a large zone is long. This suffices because a zone's confirmed version
// never decreases.
func (c *Confirmer) hasNewVersion(ctx context.Context) (bool, error) {
	rows, err := c.rows.Get(ctx, HeadKey())
	if err != nil {
		return false, eris.Wrap(err, "read head")
	}
	h, err := decodeRow[head](rows[0])
	return h.Version > c.confirmed, err
}

// push distributes version v to the VMs and returns nil once all have it in effect in two
// stable rounds. VMs known to lack it are queried alone until they have it, and no VM is
// queried while one of those is excluded: nothing can be confirmed until the reconciler has
// removed or readmitted that VM.
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

// missingVMs returns the VMs of the roster that lacked version v when last queried.
func (c *Confirmer) missingVMs(r contact.Roster, v Version) []contact.VM {
	var vms []contact.VM
	for _, vm := range r.VMs {
		if c.missingVersion == v && slices.Contains(c.missing, vm.Name) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// excludedVMs returns the VMs that are excluded and are not leaving as planned. A leaving VM
// responds until it is off the roster.
func excludedVMs(vms []contact.VM) []contact.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm contact.VM) bool { return !vm.Excluded() || vm.Left })
}

func vmNames(vms []contact.VM) []string { return contact.Roster{VMs: vms}.Names() }

// load reads version v unless it is the last version read.
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

// report writes which VMs prevent a version from being confirmed, at most once per
// reportInterval and only if they changed. It returns cause, or the error of the write.
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
