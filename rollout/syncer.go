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
	// tablePoll is the mean time between reads of the head by a VM that is in
	// contact with its peers. Changes reach it sooner, through its zone's
	// confirmer and its peers.
	tablePollInterval = 10 * time.Second
	// tableRetry is the mean time between reads by a VM that is not.
	tableRetryInterval = 500 * time.Millisecond
	// tableMargin is how long before its permission ends a VM turns to the table.
	tableMargin = 750 * time.Millisecond
	// syncCheck is how often the syncer looks whether a read is due.
	syncCheckInterval = 250 * time.Millisecond
	// departPoll is between two looks of a leaving VM at the roster.
	leavePollInterval = time.Second
)

// Syncer keeps one entry's configuration and standing up to date, from the
// table and from the peers of its zone.
//
// The order in each contact is the same: note the time, ask, adopt the roster,
// put the newest configuration in force, and only then renew the permission,
// counted from the time noted.
type Syncer struct {
	member  *contact.Member
	applier *Applier
	store   *Store
	rows    table.Service
	peers   Peers
	address string
	writeID func() string
}

// NewSyncer returns the syncer of the VM that answers its peers at address.
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
				klog.V(1).Infof("rollout: no contact with the table: %v", err)
			}
			next = clock.Now().Add(s.nextPollDelay())
		}
		loop.Sleep(ctx, syncCheckInterval)
	}
}

// wantsTable tells that this VM's permission is about to end, or has.
func (s *Syncer) needsTable(now time.Time) bool {
	return s.member.NeedsJoin() || now.Sub(s.member.LastContact()) > contact.Timeout-tableMargin
}

// pollAfter spreads the reads of the fleet evenly: half to one and a half
// times the mean.
func (s *Syncer) nextPollDelay() time.Duration {
	mean := tablePollInterval
	if s.needsTable(clock.Now()) {
		mean = tableRetryInterval
	}
	return loop.Jitter(mean)
}

// SyncTable reads the head and the roster in one snapshot, follows both, and
// joins the roster if this process is not on it.
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

// follow puts version v in force unless a newer one is.
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

// join puts this VM on the roster, provided that the head is still the version
// it has in force. The first VM of a zone also vouches that the zone has that
// version: it is the whole zone. So a zone that comes into being never makes
// an accepted version pending again.
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
		// If it took effect after all, the next round reads this VM on the
		// roster and joins again, which is harmless.
		return eris.Wrap(err, "join roster")
	}
	s.member.RecordJoin(next, startedAt)
	klog.Infof("rollout: joined roster of zone %s at revision %d", next.Zone, next.Revision)
	return nil
}

// SyncPeer asks one peer to vouch, and follows its roster and configuration.
// A process that never had contact takes them only from a peer that itself may
// serve; one that had trusts the peers on its own roster (package contact says
// why that is enough). The error is *UntrustedError when there is no contact.
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
		_ = s.shareRoster(ctx, vm, resp.Ack) // there is no contact either way
		return &UntrustedError{Peer: vm.Name}
	}
	s.member.RecordContact(startedAt)
	return s.shareRoster(ctx, vm, resp.Ack)
}

// handOver gives the peer the roster if it holds an older one: a VM that knows
// nobody, as it joined first, pulls from nobody.
func (s *Syncer) shareRoster(ctx context.Context, vm contact.VM, peerAck contact.Ack) error {
	roster := s.member.Roster()
	if peerAck.Roster >= roster.Revision {
		return nil
	}
	_, err := s.peers.PushRoster(ctx, vm, roster)
	return err
}

// fetch puts in force what the peer has. A patch that does not fit is followed
// by the whole text.
func (s *Syncer) fetchConfig(ctx context.Context, vm contact.VM) error {
	have := s.applier.Current().Version
	u, err := s.peers.FetchConfig(ctx, vm, have)
	if err != nil {
		return eris.Wrapf(err, "fetch configuration from %s", vm.Address)
	}
	return s.applier.ApplyUpdate(u)
}

// Leave takes this VM off the roster by plan and returns once it is off, or
// ctx ends. It goes on answering its peers meanwhile, so that it holds up no
// change.
//
// Call it once the last request has ended, not before: from its start the gate
// lets no attempt through, so a request that is queued, tries again or resumes
// would be cut; and once off the roster this VM's streams are no longer asked
// about when an endpoint is withheld.
func (s *Syncer) Leave(ctx context.Context) error {
	s.member.StopServing()
	for {
		removed, err := s.leaveOnce(ctx)
		if removed {
			return nil
		}
		if err != nil {
			klog.Warningf("rollout: leaving the roster: %v", err)
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
