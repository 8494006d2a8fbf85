package freshness

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Model of the protocol that keeps the configuration up to date, searched exhaustively over all
// orders of its steps: a store, a reader that queries it, and a member that receives confirmations
// from the reader. Any step may follow at any time after the previous one, so that the search
// covers every network delay and every suspension of a VM. The model runs the real Tracker and
// ReceivedConfirmation.
//
// The configuration changes from version 1 to version 2, which revokes a key.

const (
	// maxAgeSteps is the maximum age of a configuration by which keys are accepted, in time steps.
	maxAgeSteps = 1
	// maxSteps is the number of time steps that are searched.
	maxSteps = 3
	none     = -1
)

// trackerState is the state of a Tracker, with times in steps.
type trackerState struct {
	inForce, highest uint64
	newest, current  confirmationState
}

type confirmationState struct {
	version uint64
	at      int
}

// messageState is the state of a datagram, or of a query to the store.
type messageState struct {
	inFlight bool
	// stamp is the time at which the request was sent, or none.
	stamp int
	// responded is set once the message carries a version and an age, or, for a query, the version
	// that the store returned.
	responded bool
	version   uint64
	age       int
}

type protocolState struct {
	now int
	// ackedAt is the time at which the store acknowledged version 2, or none.
	ackedAt        int
	reader, member trackerState
	// query is the reader's query to the store, sent at its stamp.
	query messageState
	// upward and downward are datagrams from the member to the reader and back.
	upward, downward messageState
	// echo is the stamp that the reader has to return, or none.
	echo int
}

func initial() protocolState {
	start := trackerState{inForce: 1, highest: 1, newest: confirmationState{at: none}, current: confirmationState{at: none}}
	return protocolState{ackedAt: none, reader: start, member: start, echo: none}
}

func toTime(step int) time.Time {
	if step == none {
		return time.Time{}
	}
	return time.Unix(int64(1000+step), 0)
}

func toStep(t time.Time) int {
	if t.IsZero() {
		return none
	}
	return int(t.Unix()) - 1000
}

// withTracker runs f on a tracker in state s and returns the tracker's new state.
func (s trackerState) withTracker(now int, f func(*Tracker)) trackerState {
	tracker := &Tracker{
		now: func() time.Time { return toTime(now) }, appliedVersion: s.inForce, highestVersion: s.highest,
		newest: Confirmation{s.newest.version, toTime(s.newest.at)}, current: Confirmation{s.current.version, toTime(s.current.at)},
	}
	f(tracker)
	return trackerState{
		inForce: tracker.appliedVersion, highest: tracker.highestVersion,
		newest: confirmationState{tracker.newest.Version, toStep(tracker.newest.At)}, current: confirmationState{tracker.current.Version, toStep(tracker.current.At)},
	}
}

// accepts reports whether a VM accepts keys, and by which version.
func (s trackerState) accepts(now int) (version uint64, accepted bool) {
	s.withTracker(now, func(tracker *Tracker) {
		age, known := tracker.Age()
		accepted = known && age <= maxAgeSteps*time.Second
	})
	return s.inForce, accepted
}

func (s protocolState) storedVersion() uint64 {
	if s.ackedAt == none {
		return 1
	}
	return 2
}

// protocol holds the rules on which safety depends; each fault changes one of them.
type protocol struct {
	// dateOf returns the date of a response that arrives now to a request sent at sent.
	dateOf func(sent, now int) int
	// confirmBeforeApply makes a VM record a confirmation before the confirmed version is in force.
	confirmBeforeApply bool
	// ignoreVersion makes a confirmation count for any version in force.
	ignoreVersion bool
}

var correctProtocol = protocol{dateOf: func(sent, _ int) int { return sent }}

type transition struct {
	name string
	next protocolState
}

// transitions returns the steps that are possible in a state.
func (p protocol) transitions(s protocolState) []transition {
	var transitions []transition
	add := func(name string, change func(*protocolState)) {
		next := s
		change(&next)
		transitions = append(transitions, transition{name, next})
	}
	if s.now < maxSteps {
		add("time passes", func(n *protocolState) { n.now++ })
	}
	if s.ackedAt == none {
		add("store acknowledges version 2", func(n *protocolState) { n.ackedAt = n.now })
	}
	p.readerTransitions(s, add)
	p.memberTransitions(s, add)
	if s.member.inForce < s.reader.inForce {
		add("member applies the reader's version", func(n *protocolState) {
			n.member = n.member.withTracker(n.now, func(t *Tracker) { t.SetInForce(n.reader.inForce) })
		})
	}
	return transitions
}

func (p protocol) readerTransitions(s protocolState, add func(string, func(*protocolState))) {
	query := s.query
	switch {
	case !query.inFlight:
		add("reader queries the store", func(n *protocolState) { n.query = messageState{inFlight: true, stamp: n.now} })
	case !query.responded:
		add("store responds", func(n *protocolState) { n.query.responded, n.query.version = true, n.storedVersion() })
	default:
		at := p.dateOf(query.stamp, s.now)
		confirm := func(n *protocolState) {
			n.reader = n.reader.withTracker(n.now, func(t *Tracker) {
				if p.confirmBeforeApply {
					t.current = Confirmation{query.version, toTime(at)}
				}
				t.Confirm(Confirmation{query.version, toTime(at)})
			})
		}
		if p.confirmBeforeApply && query.version > s.reader.inForce {
			add("reader records the confirmation", confirm)
		}
		add("reader receives the response", func(n *protocolState) {
			n.reader = n.reader.withTracker(n.now, func(t *Tracker) { t.SetInForce(query.version) })
			confirm(n)
			n.query = messageState{}
		})
		add("the response is lost", func(n *protocolState) { n.query = messageState{} })
	}
}

func (p protocol) memberTransitions(s protocolState, add func(string, func(*protocolState))) {
	if !s.upward.inFlight {
		add("member sends a stamp", func(n *protocolState) { n.upward = messageState{inFlight: true, stamp: n.now} })
	} else {
		add("reader receives the stamp", func(n *protocolState) { n.echo, n.upward = n.upward.stamp, messageState{} })
		add("the stamp is lost", func(n *protocolState) { n.upward = messageState{} })
	}
	if s.downward.inFlight {
		at := p.dateOf(s.downward.stamp, s.now)
		add("member receives the confirmation", func(n *protocolState) {
			n.member = n.member.withTracker(n.now, func(t *Tracker) {
				c := ReceivedConfirmation(n.downward.version, time.Duration(n.downward.age)*time.Second, toTime(at))
				if p.ignoreVersion {
					c.Version = min(c.Version, t.appliedVersion)
				}
				t.Confirm(c)
			})
			n.downward = messageState{}
		})
		return
	}
	if s.echo == none || s.reader.newest.at == none {
		return
	}
	add("reader sends its confirmation", func(n *protocolState) {
		n.reader.withTracker(n.now, func(t *Tracker) {
			version, age, _ := t.Newest()
			n.downward = messageState{inFlight: true, stamp: n.echo, responded: true, version: version, age: int(age / time.Second)}
		})
		n.echo = none
	})
}

// violated reports whether a VM accepts a key whose revocation is older than the bound.
func (s protocolState) violated() bool {
	for _, vm := range []trackerState{s.reader, s.member} {
		version, accepted := vm.accepts(s.now)
		if accepted && version < s.storedVersion() && s.now-s.ackedAt > maxAgeSteps {
			return true
		}
	}
	return false
}

// search explores all reachable states, and returns the steps to the first violation.
func (p protocol) search() (states int, trace []string) {
	type origin struct {
		from protocolState
		step string
	}
	start := initial()
	reachedFrom := map[protocolState]origin{start: {}}
	for queue := []protocolState{start}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if s.violated() {
			for at := s; at != start; at = reachedFrom[at].from {
				trace = append(trace, reachedFrom[at].step)
			}
			slices.Reverse(trace)
			return len(reachedFrom), trace
		}
		for _, t := range p.transitions(s) {
			if _, reached := reachedFrom[t.next]; !reached {
				reachedFrom[t.next] = origin{s, t.name}
				queue = append(queue, t.next)
			}
		}
	}
	return len(reachedFrom), nil
}

// No order of steps makes a VM accept a key whose revocation is older than the bound, and the
// search detects each of the injected faults.
func TestModelRejectsRevokedKeysInTime(t *testing.T) {
	states, trace := correctProtocol.search()
	if trace != nil {
		t.Errorf("a revoked key is accepted after:\n%s", fmt.Sprint(trace))
	}
	if states < 10000 {
		t.Errorf("only %d states were searched", states)
	}
	t.Logf("%d states", states)
	arrival := func(_, now int) int { return now }
	for name, fault := range map[string]protocol{
		"dated to the arrival":            {dateOf: arrival},
		"confirmed before it is in force": {dateOf: correctProtocol.dateOf, confirmBeforeApply: true},
		"confirmed for another version":   {dateOf: correctProtocol.dateOf, ignoreVersion: true},
	} {
		if states, trace := fault.search(); trace == nil {
			t.Errorf("%s: no violation in %d states", name, states)
		} else {
			t.Logf("%s: violation after %d states: %v", name, states, trace)
		}
	}
}
