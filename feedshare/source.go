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

// ConfirmedAt returns when the last query that the store itself responded to was sent, or zero.
// All writes acknowledged before that time are known here. Only the follower may call it.
func (s *Source) ConfirmedAt() time.Time { return s.confirmedAt }

// UnansweredAt returns when the last query was sent that showed that the store does not respond, or zero. An
// outage that ended since then ended after that time. Only the follower may call it.
func (s *Source) UnansweredAt() time.Time { return s.unansweredAt }

// Version returns the table version of the last response, from the store or a peer.
func (s *Source) Version() table.Version { return s.cache.currentVersion() }

// fromStore names the store as a source, in logs and metrics.
const fromStore = "store"

// List implements table.Feed.
func (s *Source) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	if rows, version, err := s.listFromPreceding(ctx, name); err == nil {
		return rows, version, nil
	}
	rows, version, err := s.listFromStore(ctx, name)
	if err == nil {
		return rows, version, nil
	}
	for _, address := range s.available(s.position().PeersOutsideZone()) {
		ctx, cancel := clock.WithTimeout(ctx, maxListTime)
		rows, version, peerErr := s.listFromPeer(ctx, address, name)
		cancel()
		if peerErr == nil {
			return rows, version, nil
		}
		s.backOffPeer(address, peerErr)
	}
	return nil, 0, err
}

// listFromPreceding reads the table from a VM that precedes this one. While the first of them is itself
// still reading it, as when many VMs start together, it waits up to startupPatience. Otherwise all of
// them would read a large table from the store at once.
func (s *Source) listFromPreceding(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	deadline := clock.Now().Add(startupPatience)
	for {
		rows, version, err := s.listFromFirstOf(ctx, s.available(s.position().PrecedingPeers), name)
		if !isNotReadYet(err) || !clock.Now().Before(deadline) || !loop.Sleep(ctx, PositionInterval) {
			return rows, version, err
		}
	}
}

// listFromFirstOf reads the table from the first of several VMs that has it, up to one that is still
// reading it.
func (s *Source) listFromFirstOf(ctx context.Context, addresses []string, name string) ([]table.Row, table.Version, error) {
	var err error = &NotReaderError{Table: name}
	for _, address := range addresses {
		var rows []table.Row
		var version table.Version
		peerCtx, cancel := s.whilePreceding(ctx, address, maxListTime)
		rows, version, err = s.listFromPeer(peerCtx, address, name)
		cancel()
		if err == nil {
			return rows, version, nil
		}
		if isNotReadYet(err) {
			s.recordPeerError(address, err)
			break
		}
		s.handlePeerError(address, err)
	}
	return nil, 0, err
}

func isNotReadYet(err error) bool {
	var notReadYet *NotReadYetError
	return errors.As(err, &notReadYet)
}

// listFromPeer reads the table from another VM.
func (s *Source) listFromPeer(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	rows, version, err := s.peers.List(ctx, address, name)
	if err == nil && version < s.cache.currentVersion() {
		err = &BehindError{Version: version, Local: s.cache.currentVersion()}
	}
	if err != nil {
		return nil, 0, err
	}
	s.recordSource(address, version)
	s.cache.reset(rows, version, unconfirmed)
	return rows, version, nil
}

func (s *Source) listFromStore(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	if err := s.cooldown(); err != nil {
		return nil, 0, err
	}
	sentAt := clock.Now()
	rows, version, err := s.store.List(ctx, name)
	if err != nil {
		s.unansweredAt = sentAt
		s.storeFailed(err)
		return nil, 0, err
	}
	s.confirmedAt = sentAt
	s.recordSource(fromStore, version)
	s.cache.reset(rows, version, clock.Now())
	return rows, version, nil
}

// Changes implements table.Feed.
func (s *Source) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	shortWait := min(wait, s.settings.pollWait())
	for _, address := range s.available(s.position().PrecedingPeers) {
		bound := func(limit time.Duration) (context.Context, context.CancelFunc) {
			return s.whilePreceding(ctx, address, limit)
		}
		changes, next, err := s.changesFromPeer(bound, address, name, after, shortWait)
		if err == nil || isHistoryGone(err) {
			return changes, next, err
		}
		s.handlePeerError(address, err)
	}
	changes, next, err := s.changesFromStore(ctx, name, after, wait)
	if err == nil || isHistoryGone(err) {
		return changes, next, err
	}
	if changes, next, peerErr := s.changesFromOutside(ctx, name, after, shortWait); peerErr == nil || isHistoryGone(peerErr) {
		return changes, next, peerErr
	}
	return nil, 0, err
}

// changesFromOutside queries VMs outside the zone until one answers. It stops after one that does not
// respond, so that the store, which may be back, is queried again.
func (s *Source) changesFromOutside(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	var err error = &NotReaderError{Table: name}
	bound := func(limit time.Duration) (context.Context, context.CancelFunc) { return clock.WithTimeout(ctx, limit) }
	for _, address := range s.available(s.position().PeersOutsideZone()) {
		var changes []table.Change
		var next table.Version
		sentAt := clock.Now()
		changes, next, err = s.changesFromPeer(bound, address, name, after, wait)
		if err == nil || isHistoryGone(err) {
			return changes, next, err
		}
		s.backOffPeer(address, err)
		if clock.Since(sentAt) >= wait {
			break
		}
	}
	return nil, 0, err
}

func isHistoryGone(err error) bool {
	var historyGone *table.HistoryGoneError
	return errors.As(err, &historyGone)
}

// queryBound returns the context of a query that may take as long as limit.
type queryBound func(limit time.Duration) (context.Context, context.CancelFunc)

// changesFromPeer queries another VM for changes. A query that gets no response is repeated once over another
// connection, as its own may have fallen silent while the VM responds.
func (s *Source) changesFromPeer(bound queryBound, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	ctx, cancel := bound(wait + peerResponseMargin)
	defer cancel()
	changes, next, err := s.queryPeer(ctx, address, name, after, wait)
	if err == nil || context.Cause(ctx) != context.DeadlineExceeded {
		return changes, next, err
	}
	s.peers.CloseIdle()
	again, cancelAgain := bound(peerResponseMargin)
	defer cancelAgain()
	return s.queryPeer(again, address, name, after, 0)
}

// queryPeer sends one query for changes to another VM.
func (s *Source) queryPeer(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	changes, next, err := s.peers.Changes(ctx, address, name, after, wait)
	if err != nil {
		return nil, 0, err
	}
	s.recordSource(address, next)
	s.cache.apply(after, changes, next, unconfirmed)
	return changes, next, nil
}

// whilePreceding returns a context that ends after limit, or once the peer at address no longer
// precedes this VM. An unresponsive VM loses its position within half a second, and changes must
// not be delayed until a query to it times out.
func (s *Source) whilePreceding(ctx context.Context, address string, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := clock.WithTimeout(ctx, limit)
	go loop.Every(ctx, PositionInterval, func() {
		if !slices.Contains(s.position().PrecedingPeers, address) {
			cancel()
		}
	})
	return ctx, cancel
}

// changesFromStore queries the store for changes. A query that gets no response is repeated once over
// another connection, as its own may have fallen silent while the store responds.
func (s *Source) changesFromStore(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	if err := s.cooldown(); err != nil {
		return nil, 0, err
	}
	s.awaitCoalescing(ctx)
	repeat := !s.storeFailing
	wait = s.boundStoreWait(wait)
	changes, next, took, err := s.queryStore(ctx, name, after, wait)
	if repeat && isUnanswered(err, took, wait) {
		s.cache.markUnavailable() // VMs that read from this one need not wait for the second query
		s.peers.CloseIdle()       // connections may fall silent together
		changes, next, _, err = s.queryStore(ctx, name, after, 0)
	}
	if err != nil {
		s.storeFailed(err)
	}
	return changes, next, err
}

// boundStoreWait shortens the requested wait of a query of the store.
//
// Invariant: a query waits for a change only if the store answered the last one. Until then it is not
// known whether the store, or an open connection to it, responds, and a query that got lost would keep
// this VM from noticing that the store does.
func (s *Source) boundStoreWait(requested time.Duration) time.Duration {
	switch {
	case s.storeFailing || s.lastSource != fromStore:
		return 0
	case s.servesPeers() || !s.storePolled:
		// A VM's first query must not wait long either: peers may turn out to depend on this VM,
		// which serves nothing until the store has responded.
		return min(requested, s.settings.pollWait())
	}
	return min(requested, s.settings.storeWait())
}

// minUnansweredTime is how long a query without a wait takes at least if it gets no response: less
// than any timeout of the platform's client, and more than a refusal takes.
const minUnansweredTime = 100 * time.Millisecond

// isUnanswered reports whether a query failed because it got no response, not by a refusal or a reset.
func isUnanswered(err error, took, wait time.Duration) bool {
	return err != nil && !isHistoryGone(err) && took >= wait+minUnansweredTime
}

// queryStore sends one query for changes to the store, and returns how long it took.
func (s *Source) queryStore(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, time.Duration, error) {
	s.storePolled = true
	sentAt := clock.Now()
	changes, next, err := s.store.Changes(ctx, name, after, wait)
	receivedAt := clock.Now()
	took := receivedAt.Sub(sentAt)
	if err != nil {
		if !isHistoryGone(err) {
			s.unansweredAt = sentAt
		}
		if ctx.Err() == nil {
			s.logStoreFailure(err, wait, took)
		}
		return nil, 0, took, err
	}
	if len(changes) > 0 {
		s.changedAt = receivedAt
		s.setNotBefore(changes, sentAt, receivedAt)
	}
	s.confirmedAt = sentAt
	s.recordSource(fromStore, next)
	s.cache.apply(after, changes, next, earliest(receivedAt, sentAt.Add(wait+storeResponseMargin)))
	return changes, next, took, nil
}

// promptResponse is the longest time that a healthy store takes to respond to a query for changes
// it already has. A query that took longer has waited for the change.
const promptResponse = 100 * time.Millisecond

// setNotBefore sets the earliest time at which changes received from the store can have been
// made: when the previous query was sent, or, if this query waited for them, promptResponse
// before the response. The latency of a slow store must not count as age.
func (s *Source) setNotBefore(changes []table.Change, sentAt, receivedAt time.Time) {
	notBefore := s.confirmedAt
	if receivedAt.Sub(sentAt) > promptResponse {
		notBefore = receivedAt.Add(-promptResponse)
	}
	for i := range changes {
		changes[i].NotBefore = notBefore
	}
}

// earliest returns the time for which a response of the store is known to be valid: when it was
// received or, if a pause of this VM delayed that, when it was due.
func earliest(receivedAt, due time.Time) time.Time {
	if due.Before(receivedAt) {
		return due
	}
	return receivedAt
}

// servesPeers reports whether other VMs query this one.
func (s *Source) servesPeers() bool { return s.position().First || s.cache.recentlyQueried() }

// available returns the addresses that are not in backoff.
func (s *Source) available(addresses []string) []string {
	now := clock.Now()
	var selected []string
	for _, address := range addresses {
		if now.After(s.peerBackoffUntil[address]) {
			selected = append(selected, address)
		}
	}
	return selected
}

// handlePeerError records that a VM gave no usable response and puts it in backoff. The exception
// is a VM that reports that the store doesn't respond to it while the store is in backoff here
// too: that VM is the first to detect the store's recovery.
func (s *Source) handlePeerError(address string, err error) {
	var notReader *NotReaderError
	if errors.As(err, &notReader) && s.cooldown() != nil {
		if at := clock.Now().Add(-maxStoreRetry); at.After(s.unansweredAt) {
			s.unansweredAt = at
		}
		s.recordPeerError(address, err)
		return
	}
	s.backOffPeer(address, err)
}

// backOffPeer puts a VM that gave no usable response in backoff.
func (s *Source) backOffPeer(address string, err error) {
	s.recordPeerError(address, err)
	s.peerBackoffUntil[address] = clock.Now().Add(loop.Jitter(peerBackoff))
}

func (s *Source) recordPeerError(address string, err error) {
	reason := failure.ReasonOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_refused_total{table=%q,reason=%q}`, s.table, reason)).Inc()
	klog.V(1).InfoS("feedshare: no usable response from VM, trying the next source", "table", s.table, "vm", address, "reason", reason, "err", err)
}

// cooldown returns a *CooldownError while the store is in backoff, or nil.
func (s *Source) cooldown() error {
	if clock.Now().Before(s.storeBackoffUntil) {
		return &CooldownError{Table: s.table, Cause: s.storeErr}
	}
	return nil
}

// storeFailed records that the store failed to respond. If peers precede this VM, it starts the
// store's backoff and ends that of all peers, as one of them may reach the store first.
func (s *Source) storeFailed(err error) {
	if isHistoryGone(err) {
		return
	}
	s.storeFailing = true
	s.cache.markUnavailable()
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_lost_total{table=%q}`, s.table)).Inc()
	position := s.position()
	if len(position.PrecedingPeers) == 0 {
		return
	}
	clear(s.peerBackoffUntil)
	pause := storeBackoff
	if position.Rank >= distantRank {
		pause = distantStoreBackoff
	}
	s.storeBackoffUntil, s.storeErr = clock.Now().Add(loop.Jitter(pause)), err
}

// logStoreFailure logs a failed query for changes. Failures that follow each other without a response
// of the store in between are logged once at the default level.
func (s *Source) logStoreFailure(err error, wait, took time.Duration) {
	if isHistoryGone(err) {
		return
	}
	level := klog.Level(0)
	if s.storeFailing {
		level = 1
	}
	klog.V(level).InfoS("feedshare: query of the store failed", "table", s.table, "waitMS", wait.Milliseconds(), "tookMS", took.Milliseconds(), "before", s.lastSource, "err", err)
}

// recordSource records the source of a response and ends the store's backoff.
func (s *Source) recordSource(source string, version table.Version) {
	kind := fromStore
	if source == fromStore {
		s.storeFailing = false
	} else {
		kind = "vm"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_feed_answers_total{table=%q,from=%q}`, s.table, kind)).Inc()
	s.storeBackoffUntil = time.Time{}
	if source != s.lastSource {
		klog.InfoS("feedshare: table is read from another source", "table", s.table, "from", source, "before", s.lastSource, "version", version.String())
		s.lastSource = source
	}
}
