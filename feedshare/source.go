package feedshare

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

var _ table.Feed = (*Source)(nil)

// ConfirmedAt returns when the last question was asked that the store itself answered, or zero: all
// that was acknowledged before that is known here. Only the follower may call it.
func (s *Source) ConfirmedAt() time.Time { return s.current }

// Version is that of what was last read, from wherever.
func (s *Source) Version() table.Version { return s.cache.at() }

// fromStore stands for the store where sources are named.
const fromStore = "store"

// List implements table.Feed.
func (s *Source) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	for _, address := range s.trusted(s.place().PrecedingPeers) {
		ctx, cancel := s.whileReader(ctx, address, listTimeout)
		rows, at, err := s.listPeer(ctx, address, name)
		cancel()
		if err == nil {
			return rows, at, nil
		}
		s.refused(address, err)
	}
	rows, at, err := s.listStore(ctx, name)
	if err == nil {
		return rows, at, nil
	}
	for _, address := range s.trusted(s.place().PeersOutsideZone) {
		ctx, cancel := clock.WithTimeout(ctx, listTimeout)
		rows, at, failed := s.listPeer(ctx, address, name)
		cancel()
		if failed == nil {
			return rows, at, nil
		}
		s.doubt(address, failed)
	}
	return nil, 0, err
}

// listPeer reads the table from another VM.
func (s *Source) listPeer(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	rows, at, err := s.peers.List(ctx, address, name)
	if err == nil && at < s.cache.at() {
		err = &BehindError{Version: at, Local: s.cache.at()}
	}
	if err != nil {
		return nil, 0, err
	}
	s.answered(address, at)
	s.cache.reset(rows, at, toldByVM)
	return rows, at, nil
}

func (s *Source) listStore(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	if err := s.resting(); err != nil {
		return nil, 0, err
	}
	asked := clock.Now()
	rows, at, err := s.store.List(ctx, name)
	if err != nil {
		s.lost(err)
		return nil, 0, err
	}
	s.current = asked
	s.answered(fromStore, at)
	s.cache.reset(rows, at, clock.Now())
	return rows, at, nil
}

// Changes implements table.Feed.
func (s *Source) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	short := min(wait, s.settings.wait())
	for _, address := range s.trusted(s.place().PrecedingPeers) {
		asking, cancel := s.whileReader(ctx, address, short+peerWaitMargin)
		changes, next, err := s.changesOfPeer(asking, address, name, after, short)
		cancel()
		if err == nil || isGone(err) {
			return changes, next, err
		}
		s.refused(address, err)
	}
	changes, next, err := s.changesOfStore(ctx, name, after, wait)
	if err == nil || isGone(err) {
		return changes, next, err
	}
	for _, address := range s.trusted(s.place().PeersOutsideZone) {
		asking, cancel := clock.WithTimeout(ctx, short+peerWaitMargin)
		changes, next, failed := s.changesOfPeer(asking, address, name, after, short)
		cancel()
		if failed == nil || isGone(failed) {
			return changes, next, failed
		}
		s.doubt(address, failed)
	}
	return nil, 0, err
}

func isGone(err error) bool {
	var gone *table.HistoryGoneError
	return errors.As(err, &gone)
}

// changesOfPeer asks another VM for changes.
func (s *Source) changesOfPeer(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	changes, next, err := s.peers.Changes(ctx, address, name, after, wait)
	if err != nil {
		return nil, 0, err
	}
	s.answered(address, next)
	s.cache.apply(after, changes, next, toldByVM)
	return changes, next, nil
}

// whileReader bounds a question to another VM by a time, and by that VM's place: one that falls
// silent loses it within half a second, and news must not wait until a question to it times out.
func (s *Source) whileReader(ctx context.Context, address string, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := clock.WithTimeout(ctx, limit)
	go loop.Every(ctx, PositionInterval, func() {
		if !slices.Contains(s.place().PrecedingPeers, address) {
			cancel()
		}
	})
	return ctx, cancel
}

func (s *Source) changesOfStore(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	if err := s.resting(); err != nil {
		return nil, 0, err
	}
	if pause := clock.Until(s.gatherUntil); pause > 0 {
		loop.Sleep(ctx, pause)
	}
	if s.serves() || !s.followed {
		// The first question of a VM that starts must not wait for long either: it may turn out to be
		// the one that others ask, and passes on nothing until the store has answered.
		wait = min(wait, s.settings.wait())
	}
	s.followed = true
	asked := clock.Now()
	changes, next, err := s.store.Changes(ctx, name, after, wait)
	if err != nil {
		s.lost(err)
		return nil, 0, err
	}
	came := clock.Now()
	if len(changes) > 0 {
		s.gatherUntil = came.Add(s.settings.CoalesceInterval)
		s.date(changes, asked, came)
	}
	s.current = asked
	s.answered(fromStore, next)
	s.cache.apply(after, changes, next, earlier(came, asked.Add(wait+storeSlack)))
	return changes, next, nil
}

// promptly is how long the store takes at the most, when it is well, over a question for
// changes that it has already. An answer that takes longer waited for the change.
const promptly = 100 * time.Millisecond

// date says when changes that the store told can have been made: after the answer before,
// or, if the question waited for them, just now. What a slow store adds is not in it.
func (s *Source) date(changes []table.Change, asked, came time.Time) {
	notBefore := s.current
	if came.Sub(asked) > promptly {
		notBefore = came.Add(-promptly)
	}
	for i := range changes {
		changes[i].NotBefore = notBefore
	}
}

// earlier returns when an answer of the store can still have been true: when it came, or,
// if it was held up by a pause of this VM, when it was due.
func earlier(came, due time.Time) time.Time {
	if due.Before(came) {
		return due
	}
	return came
}

// serves tells whether other VMs ask this one.
func (s *Source) serves() bool { return s.place().First || s.cache.askedLately() }

// trusted are those of some VMs that are not in doubt.
func (s *Source) trusted(addresses []string) []string {
	now := clock.Now()
	var list []string
	for _, address := range addresses {
		if now.After(s.doubted[address]) {
			list = append(list, address)
		}
	}
	return list
}

// refused notes that a VM gave no answer that could be used, and leaves it alone for a
// while. But for one that says that the store does not answer it while that holds here
// too: it is the first to know when the store is back.
func (s *Source) refused(address string, err error) {
	var noNews *NotReaderError
	if errors.As(err, &noNews) && s.resting() != nil {
		s.note(address, err)
		return
	}
	s.doubt(address, err)
}

// doubt leaves a VM alone for a while that gave no answer that could be used.
func (s *Source) doubt(address string, err error) {
	s.note(address, err)
	s.doubted[address] = clock.Now().Add(loop.Jitter(doubt))
}

func (s *Source) note(address string, err error) {
	reason := failure.ReasonOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_refused_total{table=%q,reason=%q}`, s.table, reason)).Inc()
	klog.V(1).InfoS("feedshare: VM gave no answer, asking the next", "table", s.table, "vm", address, "reason", reason, "err", err)
}

// resting returns why the store is left alone now, or nil.
func (s *Source) resting() error {
	if clock.Now().Before(s.restUntil) {
		return &CooldownError{Table: s.table, Cause: s.away}
	}
	return nil
}

// lost notes that the store gave no answer. The VMs in doubt are asked again: one of them
// may find the store first.
func (s *Source) lost(err error) {
	if isGone(err) {
		return
	}
	s.cache.lost()
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_lost_total{table=%q}`, s.table)).Inc()
	place := s.place()
	if len(place.PrecedingPeers) == 0 {
		return
	}
	clear(s.doubted)
	pause := rest
	if place.Rank >= farRank {
		pause = farRest
	}
	s.restUntil, s.away = clock.Now().Add(loop.Jitter(pause)), err
}

// answered notes where an answer came from.
func (s *Source) answered(from string, at table.Version) {
	kind := fromStore
	if from != fromStore {
		kind = "vm"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_answers_total{table=%q,from=%q}`, s.table, kind)).Inc()
	s.restUntil = time.Time{}
	if from != s.from {
		klog.InfoS("feedshare: table is read from another source", "table", s.table, "from", from, "before", s.from, "version", at.String())
		s.from = from
	}
}
