package table

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// feed is a table whose changes are numbered, and that can be away. Its lock guards
// all fields: a test changes them while the follower asks.
type fakeFeed struct {
	mu      sync.Mutex
	log     []Change
	trimmed Version
	down    bool
	// waits are the waits of the questions for changes.
	waits []time.Duration
	calls int
}

var errDown = errors.New("away")

func (f *fakeFeed) put(row string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, Change{Row: Row{Key: Key{Table: "t", Row: row}, Version: f.version() + 1, Value: []byte("v")}})
}

func (f *fakeFeed) drop(row string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, Change{Row: Row{Key: Key{Table: "t", Row: row}, Version: f.version() + 1}, Deleted: true})
}

// now is the version of the newest change. The lock is held.
func (f *fakeFeed) version() Version { return Version(len(f.log)) }

func (f *fakeFeed) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// forget drops the history up to now.
func (f *fakeFeed) trim() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trimmed = f.version()
}

func (f *fakeFeed) List(context.Context, string) ([]Row, Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return nil, 0, &UnavailableError{Cause: errDown}
	}
	rows := map[string]Row{}
	for _, c := range f.log {
		if c.Deleted {
			delete(rows, c.Row.Key.Row)
		} else {
			rows[c.Row.Key.Row] = c.Row
		}
	}
	var list []Row
	for _, r := range rows {
		list = append(list, r)
	}
	return list, f.version(), nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after Version, wait time.Duration) ([]Change, Version, error) {
	f.mu.Lock()
	f.calls++
	f.waits = append(f.waits, wait)
	f.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		changes, version, err := f.since(after)
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, version, err
		}
	}
}

func (f *fakeFeed) since(after Version) ([]Change, Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return nil, 0, &UnavailableError{Cause: errDown}
	case after < f.trimmed:
		return nil, 0, &HistoryGoneError{Table: "t", After: after}
	}
	return slices.Clone(f.log[min(after, f.version()):]), f.version(), nil
}

// follow runs a follower while steps change the feed, and returns what it told.
func runFollower(t *testing.T, f *fakeFeed, steps func()) []string {
	t.Helper()
	var events []string
	follower := &Follower{
		Feed: f, Table: "t",
		OnList: func(rows []Row, l Listing) {
			line := fmt.Sprintf("list %d outage=%v", len(rows), l.AfterOutage)
			if l.NewEpoch {
				line += " new epoch"
			}
			events = append(events, line)
		},
		OnChanges: func(changes []Change, outage bool) {
			if len(changes) == 0 && !outage {
				return
			}
			line := fmt.Sprintf("changes outage=%v", outage)
			for _, c := range changes {
				line += fmt.Sprintf(" %s deleted=%v", c.Row.Key.Row, c.Deleted)
			}
			events = append(events, line)
		},
		OnUnavailable: func(error) { events = append(events, "lost") },
		OnRecovered:   func(time.Duration) { events = append(events, "regained") },
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		time.Sleep(time.Second)
		steps()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
	})
	return events
}

func TestFollower(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps func(f *fakeFeed)
		want  []string
	}{
		{"changes", func(f *fakeFeed) { f.put("b"); time.Sleep(time.Second); f.drop("a") },
			[]string{"list 1 outage=false", "changes outage=false b deleted=false", "changes outage=false a deleted=true"}},
		{"history gone", func(f *fakeFeed) { f.put("b"); f.trim() },
			[]string{"list 1 outage=false", "list 2 outage=false"}},
		{"an outage during which a row goes", func(f *fakeFeed) {
			f.setDown(true)
			time.Sleep(3 * time.Second)
			f.drop("a")
			f.setDown(false)
			time.Sleep(2 * time.Second)
			f.put("c")
		}, []string{"list 1 outage=false", "lost", "regained", "changes outage=true a deleted=true", "changes outage=false c deleted=false"}},
		{"an outage in which nothing happens", func(f *fakeFeed) { f.setDown(true); time.Sleep(3 * time.Second); f.setDown(false) },
			[]string{"list 1 outage=false", "lost", "regained", "changes outage=true"}},
		{"an outage after which the history is gone", func(f *fakeFeed) {
			f.setDown(true)
			time.Sleep(3 * time.Second)
			f.drop("a")
			f.trim()
			f.setDown(false)
		}, []string{"list 1 outage=false", "lost", "regained", "list 0 outage=true"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeFeed{}
			f.put("a")
			if diff := cmp.Diff(tc.want, runFollower(t, f, func() { tc.steps(f) })); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A table that is away from the start is asked until it answers, ever more seldom,
// and the first answer after an outage takes in nothing that happens after it.
func TestFollowerBacksOffWhileUnavailable(t *testing.T) {
	f := &fakeFeed{down: true}
	f.put("a")
	events := runFollower(t, f, func() { time.Sleep(20 * time.Second); f.setDown(false) })
	if diff := cmp.Diff([]string{"lost", "regained", "list 1 outage=true"}, events[:3]); diff != "" {
		t.Error(diff)
	}
	if f.calls < 15 || f.calls > 50 {
		t.Errorf("asked %d times in 21 s", f.calls)
	}
	f = &fakeFeed{}
	f.put("a")
	runFollower(t, f, func() { f.setDown(true); time.Sleep(2 * time.Second); f.setDown(false) })
	first := slices.Index(f.waits, 0)
	if first < 0 || f.waits[len(f.waits)-1] != DefaultFeedWait {
		t.Errorf("waits %v: want none while the table was away, and %v after", f.waits, DefaultFeedWait)
	}
}
