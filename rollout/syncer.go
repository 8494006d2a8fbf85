package rollout

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Timing of the syncer.
const (
	// tablePollInterval is the mean time between reads of the head by a VM that is in contact
	// with its peers. It receives changes sooner, from its zone's confirmer and its peers.
	tablePollInterval = 10 * time.Second
	// tableRetryInterval is the mean time between reads by a VM without contact.
	tableRetryInterval = 500 * time.Millisecond
	// tableMargin is how long before its permission ends a VM contacts the table.
	tableMargin = 750 * time.Millisecond
	// syncCheckInterval is the time between checks whether a read is due.
	syncCheckInterval = 250 * time.Millisecond
	// leavePollInterval is the time between two reads of the roster by a leaving VM.
	leavePollInterval = time.Second
)

// Syncer keeps the configuration and the membership of one entry process up to date, from the
// table and from the peers of its zone.
//
// Every contact follows the same order: record the time, send the request, apply the roster,
// apply the newest configuration, and only then extend the permission, counted from the
// recorded time.
type Syncer struct {
	member  *contact.Member
	applier *Applier
	store   *Store
	rows    table.Service
	peers   Peers
	address string
	writeID func() string
}

// NewSyncer returns the syncer of the VM that serves its peers at address.
func NewSyncer(m *contact.Member, a *Applier, s *Store, rows table.Service, peers Peers, address string, writeID func() string) *Syncer {
	return &Syncer{member: m, applier: a, store: s, rows: rows, peers: peers, address: address, writeID: writeID}
}

// RunTable keeps contact with the table until ctx ends.
func (s *Syncer) RunTable(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		now := clock.Now()
		due := next
		if s.needsTable(now) && next.Sub(now) > tableRetryInterval {
			due = now
		}
		if !now.Before(due) {
			if err := s.SyncTable(ctx); err != nil {
				klog.V(1).Infof("rollout: contact with the table failed: %v", err)
			}
			next = clock.Now().Add(s.nextPollDelay())
		}
		loop.Sleep(ctx, syncCheckInterval)
	}
}

// needsTable reports whether this VM's permission is about to end or has ended.
func (s *Syncer) needsTable(now time.Time) bool {
	return s.member.NeedsJoin() || now.Sub(s.member.LastContact()) > contact.Timeout-tableMargin
}

// nextPollDelay returns a random delay of half to one and a half times the mean, which spreads
// the reads of the fleet evenly.
func (s *Syncer) nextPollDelay() time.Duration {
	mean := tablePollInterval
	if s.needsTable(clock.Now()) {
		mean = tableRetryInterval
	}
	return loop.Jitter(mean)
}

// SyncTable reads the head and the roster in one snapshot, applies both, and joins the roster
// if this process is not on it.
func (s *Syncer) SyncTable(ctx context.Context) error {
	err := s.syncTable(ctx)
	countContact(withTable, err)
	return err
}

func (s *Syncer) syncTable(ctx context.Context) error {
	startedAt := clock.Now()
	keys := []table.Key{HeadKey(), contact.Key(s.member.Zone()), AckKey(s.member.Zone())}
	rows, err := s.rows.Get(ctx, keys...)
	if err != nil {
		return eris.Wrap(err, "read head and roster")
	}
	h, err := decodeRow[head](rows[0])
	if err != nil {
		return err
	}
	roster, err := contact.Decode(rows[1].Value)
	if err != nil {
		return err
	}
	s.member.ApplyRoster(roster)
	if err := s.applyVersion(ctx, h.Version); err != nil {
		return err
	}
	if s.member.NeedsJoin() {
		return s.join(ctx, h, roster, rows)
	}
	s.member.RecordContact(startedAt)
	return nil
}

// applyVersion applies version v unless an equal or newer one is in effect.
func (s *Syncer) applyVersion(ctx context.Context, v Version) error {
	if v <= s.applier.Current().Version {
		return nil
	}
	doc, err := s.store.Load(ctx, v)
	if err != nil {
		return err
	}
	return s.applier.Apply(doc)
}

// join adds this VM to the roster, provided that the head is still the version that it has in
// effect. The first VM of a zone also acknowledges that version for the zone, since it is the
// zone's only VM. So creating a zone never makes an accepted version pending again.
func (s *Syncer) join(ctx context.Context, h head, roster contact.Roster, rows []table.Row) error {
	startedAt := clock.Now()
	next := roster.Join(s.member.Zone(), s.member.Name(), s.address)
	next.WriteID = s.writeID()
	txn := table.Txn{Writes: []table.Write{{Key: rows[1].Key, Value: next.Encode()}}}
	for _, row := range rows[:2] {
		txn.Checks = append(txn.Checks, table.Check{Key: row.Key, Version: row.Version})
	}
	if len(roster.VMs) == 0 {
		first := ack{Version: h.Version, WriteID: next.WriteID}
		txn.Checks = append(txn.Checks, table.Check{Key: rows[2].Key, Version: rows[2].Version})
		txn.Writes = append(txn.Writes, table.Write{Key: rows[2].Key, Value: encodeRow(first)})
	}
	if _, err := s.rows.Commit(ctx, txn); err != nil {
		// If the write took effect after all, the next round finds this VM on the roster and
		// joins again, which is harmless.
		return eris.Wrap(err, "join roster")
	}
	s.member.RecordJoin(next, startedAt)
	klog.Infof("rollout: joined roster of zone %s at revision %d", next.Zone, next.Revision)
	return nil
}

// SyncPeer asks one peer to confirm this VM as a member, and applies the peer's roster and
// configuration. A process that never had contact accepts the confirmation only from a peer
// that itself may serve; one that had contact accepts it from the active VMs on its own roster
// (see package contact for why that suffices). The error is *UntrustedError if the response
// does not count as contact.
func (s *Syncer) SyncPeer(ctx context.Context, vm contact.VM) error {
	err := s.syncPeer(ctx, vm)
	countContact(withPeer, err)
	return err
}

func (s *Syncer) syncPeer(ctx context.Context, vm contact.VM) error {
	startedAt := clock.Now()
	resp, err := s.peers.Exchange(ctx, vm)
	if err != nil {
		return eris.Wrapf(err, "exchange with %s", vm.Address)
	}
	firstContact := s.member.LastContact().IsZero()
	if firstContact && !resp.Serving {
		return &UntrustedError{Peer: vm.Name}
	}
	s.member.ApplyRoster(resp.Roster)
	if Version(resp.Ack.Config) > s.applier.Current().Version {
		if err := s.fetchConfig(ctx, vm); err != nil {
			return err
		}
	}
	if !resp.Confirmed || !(firstContact || s.member.Roster().IsActive(vm.Name)) {
		_ = s.shareRoster(ctx, vm, resp.Ack) // the peer is untrusted whether or not this fails
		return &UntrustedError{Peer: vm.Name}
	}
	s.member.RecordContact(startedAt)
	return s.shareRoster(ctx, vm, resp.Ack)
}

// shareRoster sends the roster to the peer if the peer holds an older one. The first VM to join
// has an empty peer list and pulls from no VM, so it depends on this.
func (s *Syncer) shareRoster(ctx context.Context, vm contact.VM, peerAck contact.Ack) error {
	roster := s.member.Roster()
	if peerAck.Roster >= roster.Revision {
		return nil
	}
	_, err := s.peers.PushRoster(ctx, vm, roster)
	return err
}

// fetchConfig fetches and applies the peer's configuration.
func (s *Syncer) fetchConfig(ctx context.Context, vm contact.VM) error {
	have := s.applier.Current().Version
	u, err := s.peers.FetchConfig(ctx, vm, have)
	if err != nil {
		return eris.Wrapf(err, "fetch configuration from %s", vm.Address)
	}
	return s.applier.ApplyUpdate(u)
}

// Leave removes this VM from the roster for a planned shutdown, and returns once it is off the
// roster or ctx ends. The VM continues to serve its peers meanwhile, so that it does not block
// changes.
//
// Call it only after the last request has ended. From its start the gate admits no attempt, so
// a request that is queued, retried or resumed would be cut; and once the VM is off the roster,
// its streams are no longer considered when an endpoint is withheld.
func (s *Syncer) Leave(ctx context.Context) error {
	s.member.StopServing()
	for {
		removed, err := s.leaveOnce(ctx)
		if removed {
			return nil
		}
		if err != nil {
			klog.Warningf("rollout: leaving the roster failed: %v", err)
		}
		if !loop.Sleep(ctx, leavePollInterval) {
			return eris.Wrap(&contact.UnstableError{Missing: []string{s.member.Name()}}, "leave roster")
		}
	}
}

func (s *Syncer) leaveOnce(ctx context.Context) (removed bool, err error) {
	rows, err := s.rows.Get(ctx, contact.Key(s.member.Zone()))
	if err != nil {
		return false, err
	}
	roster, err := contact.Decode(rows[0].Value)
	if err != nil {
		return false, err
	}
	vm, listed := roster.Find(s.member.Name())
	if !listed || vm.Left {
		return !listed, nil
	}
	next := roster.Leave(vm.Name)
	next.WriteID = s.writeID()
	_, err = s.rows.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: rows[0].Key, Version: rows[0].Version}},
		Writes: []table.Write{{Key: rows[0].Key, Value: next.Encode()}},
	})
	return false, err
}
