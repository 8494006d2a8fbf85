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

// Confirmed returns when the last question was asked that the store itself answered, or zero: all
// that was acknowledged before that is known here. Only the follower may call it.
func (s *Source) Confirmed() time.Time { return s.current }

// Version is that of what was last read, from wherever.
func (s *Source) Version() table.Version { return s.cache.at() }

// fromStore stands for the store where sources are named.
const fromStore = "store"

// List implements table.Feed.
func (s *Source) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	for _, address := range s.candidates() {
		ctx, cancel := s.whileReader(ctx, address, listTimeout)
		rows, at, err := s.peers.List(ctx, address, name)
		cancel()
		if err == nil && at < s.cache.at() {
			err = &BehindError{Version: at, Known: s.cache.at()}
		}
		if err == nil {
			s.answered(address, at)
			s.cache.reset(rows, at, toldByVM)
			return rows, at, nil
		}
		s.refused(address, err)
	}
	return s.listStore(ctx, name)
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
	for _, address := range s.candidates() {
		changes, next, err := s.askPeer(ctx, address, name, after, min(wait, s.settings.wait()))
		var gone *table.HistoryGoneError
		if err == nil || errors.As(err, &gone) {
			return changes, next, err
		}
		s.refused(address, err)
	}
	return s.changesOfStore(ctx, name, after, wait)
}

// askPeer asks another VM for changes.
func (s *Source) askPeer(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	ctx, cancel := s.whileReader(ctx, address, wait+peerWaitMargin)
	defer cancel()
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
	go loop.Every(ctx, PlaceInterval, func() {
		if !slices.Contains(s.place().Before, address) {
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
	if s.serves() {
		wait = min(wait, s.settings.wait())
	}
	asked := clock.Now()
	changes, next, err := s.store.Changes(ctx, name, after, wait)
	if err != nil {
		s.lost(err)
		return nil, 0, err
	}
	came := clock.Now()
	if len(changes) > 0 {
		s.gatherUntil = came.Add(s.settings.Gather)
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

// candidates are the VMs to ask, without those that are in doubt.
func (s *Source) candidates() []string {
	now := clock.Now()
	var list []string
	for _, address := range s.place().Before {
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
	reason := failure.ReasonOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_refused_total{table=%q,reason=%q}`, s.table, reason)).Inc()
	klog.V(1).InfoS("feedshare: VM gave no answer, asking the next", "table", s.table, "vm", address, "reason", reason, "err", err)
	var noNews *NotReaderError
	if errors.As(err, &noNews) && s.resting() != nil {
		return
	}
	s.doubted[address] = clock.Now().Add(loop.Jitter(doubt))
}

// resting returns why the store is left alone now, or nil.
func (s *Source) resting() error {
	if clock.Now().Before(s.restUntil) {
		return &RestingError{Table: s.table, Cause: s.away}
	}
	return nil
}

// lost notes that the store gave no answer. The VMs in doubt are asked again: one of them
// may find the store first.
func (s *Source) lost(err error) {
	var gone *table.HistoryGoneError
	if errors.As(err, &gone) {
		return
	}
	s.cache.lost()
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_lost_total{table=%q}`, s.table)).Inc()
	if len(s.place().Before) > 0 {
		clear(s.doubted)
		s.restUntil, s.away = clock.Now().Add(loop.Jitter(rest)), err
	}
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
