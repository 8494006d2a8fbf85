package freshness

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The protocol by which knowledge of the configuration stays fresh, as a state that is searched
// through all orders of its steps: a store, a reader that asks it, and a member that the reader
// tells. Any step may come at any time after the one before it, so that every delay on the way and
// every suspension of a VM is among them. The trackers and the dating are the ones that serve.
//
// The configuration goes from version 1 to version 2, which takes a key away.

const (
	// maxAge is how old, in steps of time, what a key is accepted by may be.
	maxAge = 1
	// horizon is how many steps of time are looked at.
	horizon = 3
	none    = -1
)

// known is the state of a Tracker, with times in steps.
type known struct {
	inForce, highest uint64
	newest, current  seen
}

type seen struct {
	version uint64
	at      int
}

// message is one datagram, or a question to the store, on its way.
type message struct {
	there bool
	// stamp is when the sender of the stamp sent it, or none.
	stamp int
	// told is set once the reader has answered, with version and age; for a question to the store,
	// version is its answer.
	told    bool
	version uint64
	age     int
}

type state struct {
	now int
	// acked is when version 2 was acknowledged, or none.
	acked          int
	reader, member known
	// question is the reader's to the store, which it sent at stamp.
	question message
	// up and down are datagrams from the member to the reader and back.
	up, down message
	// echo is the stamp that the reader has to send back, or none.
	echo int
}

func initial() state {
	start := known{inForce: 1, highest: 1, newest: seen{at: none}, current: seen{at: none}}
	return state{acked: none, reader: start, member: start, echo: none}
}

func moment(at int) time.Time {
	if at == none {
		return time.Time{}
	}
	return time.Unix(int64(1000+at), 0)
}

func step(at time.Time) int {
	if at.IsZero() {
		return none
	}
	return int(at.Unix()) - 1000
}

// with lets f work on a tracker in a known state, and returns its state after that.
func (k known) with(now int, f func(*Tracker)) known {
	t := &Tracker{
		now: func() time.Time { return moment(now) }, inForce: k.inForce, highest: k.highest,
		newest: Confirmation{k.newest.version, moment(k.newest.at)}, current: Confirmation{k.current.version, moment(k.current.at)},
	}
	f(t)
	return known{
		inForce: t.inForce, highest: t.highest,
		newest: seen{t.newest.Version, step(t.newest.At)}, current: seen{t.current.Version, step(t.current.At)},
	}
}

// accepts tells whether a VM accepts keys, and by which version.
func (k known) accepts(now int) (version uint64, accepted bool) {
	k.with(now, func(t *Tracker) {
		age, shown := t.Age()
		accepted = shown && age <= maxAge*time.Second
	})
	return k.inForce, accepted
}

func (s state) stored() uint64 {
	if s.acked == none {
		return 1
	}
	return 2
}

// rules are the protocol's points on which its safety rests; a fault changes one.
type rules struct {
	// date returns when the answer to something sent at sent, which comes now, is true of.
	date func(sent, now int) int
	// confirmFirst makes a VM take a confirmation before what it confirms is in force.
	confirmFirst bool
	// anyVersion makes a confirmation count whatever version is in force.
	anyVersion bool
}

var sound = rules{date: func(sent, _ int) int { return sent }}

type action struct {
	name string
	next state
}

// actions are the steps that can come next.
func (r rules) actions(s state) []action {
	var list []action
	add := func(name string, change func(*state)) {
		next := s
		change(&next)
		list = append(list, action{name, next})
	}
	if s.now < horizon {
		add("time passes", func(n *state) { n.now++ })
	}
	if s.acked == none {
		add("store acknowledges version 2", func(n *state) { n.acked = n.now })
	}
	r.readerAsks(s, add)
	r.memberAsks(s, add)
	if s.member.inForce < s.reader.inForce {
		add("member gets the reader's version", func(n *state) {
			n.member = n.member.with(n.now, func(t *Tracker) { t.SetInForce(n.reader.inForce) })
		})
	}
	return list
}

func (r rules) readerAsks(s state, add func(string, func(*state))) {
	q := s.question
	switch {
	case !q.there:
		add("reader asks the store", func(n *state) { n.question = message{there: true, stamp: n.now} })
	case !q.told:
		add("store answers", func(n *state) { n.question.told, n.question.version = true, n.stored() })
	default:
		at := r.date(q.stamp, s.now)
		confirm := func(n *state) {
			n.reader = n.reader.with(n.now, func(t *Tracker) {
				if r.confirmFirst {
					t.current = Confirmation{q.version, moment(at)}
				}
				t.Confirm(Confirmation{q.version, moment(at)})
			})
		}
		if r.confirmFirst && q.version > s.reader.inForce {
			add("reader notes the confirmation", confirm)
		}
		add("reader takes the answer", func(n *state) {
			n.reader = n.reader.with(n.now, func(t *Tracker) { t.SetInForce(q.version) })
			confirm(n)
			n.question = message{}
		})
		add("the answer is lost", func(n *state) { n.question = message{} })
	}
}

func (r rules) memberAsks(s state, add func(string, func(*state))) {
	if !s.up.there {
		add("member sends a stamp", func(n *state) { n.up = message{there: true, stamp: n.now} })
	} else {
		add("reader takes the stamp", func(n *state) { n.echo, n.up = n.up.stamp, message{} })
		add("the stamp is lost", func(n *state) { n.up = message{} })
	}
	if s.down.there {
		at := r.date(s.down.stamp, s.now)
		add("member takes the confirmation", func(n *state) {
			n.member = n.member.with(n.now, func(t *Tracker) {
				c := ReceivedConfirmation(n.down.version, time.Duration(n.down.age)*time.Second, moment(at))
				if r.anyVersion {
					c.Version = min(c.Version, t.inForce)
				}
				t.Confirm(c)
			})
			n.down = message{}
		})
		return
	}
	if s.echo == none || s.reader.newest.at == none {
		return
	}
	add("reader tells its confirmation", func(n *state) {
		n.reader.with(n.now, func(t *Tracker) {
			version, age, _ := t.Newest()
			n.down = message{there: true, stamp: n.echo, told: true, version: version, age: int(age / time.Second)}
		})
		n.echo = none
	})
}

// broken tells whether a VM accepts a key that was taken away too long ago.
func (s state) broken() bool {
	for _, vm := range []known{s.reader, s.member} {
		version, accepted := vm.accepts(s.now)
		if accepted && version < s.stored() && s.now-s.acked > maxAge {
			return true
		}
	}
	return false
}

// search looks at all states that can be reached, and returns the steps to the first broken one.
func (r rules) search() (states int, trace []string) {
	type origin struct {
		from state
		step string
	}
	start := initial()
	came := map[state]origin{start: {}}
	for queue := []state{start}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		if s.broken() {
			for at := s; at != start; at = came[at].from {
				trace = append(trace, came[at].step)
			}
			slices.Reverse(trace)
			return len(came), trace
		}
		for _, a := range r.actions(s) {
			if _, had := came[a.next]; !had {
				came[a.next] = origin{s, a.name}
				queue = append(queue, a.next)
			}
		}
	}
	return len(came), nil
}

// No order of steps makes a VM accept a key that was taken away longer ago than the bound, and the
// search finds each of the faults that it is there for.
func TestNoOrderOfStepsKeepsAKeyAlive(t *testing.T) {
	states, trace := sound.search()
	if trace != nil {
		t.Errorf("a key lives on after:\n%s", fmt.Sprint(trace))
	}
	if states < 10000 {
		t.Errorf("only %d states were looked at", states)
	}
	t.Logf("%d states", states)
	arrival := func(_, now int) int { return now }
	for name, fault := range map[string]rules{
		"dated to the arrival":            {date: arrival},
		"confirmed before it is in force": {date: sound.date, confirmFirst: true},
		"confirmed for another version":   {date: sound.date, anyVersion: true},
	} {
		if states, trace := fault.search(); trace == nil {
			t.Errorf("%s: not found in %d states", name, states)
		} else {
			t.Logf("%s: found after %d states: %v", name, states, trace)
		}
	}
}
