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

// fakeFeed is a table with numbered changes that can be unavailable. Its lock guards all fields:
// a test changes them while the follower queries.
type fakeFeed struct {
	mu      sync.Mutex
	log     []Change
	trimmed Version
	down    bool
	// waits holds the waits of the queries for changes.
	waits []time.Duration
	calls int
}

var errDown = errors.New("down")

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

// version returns the version of the newest change. The caller holds f.mu.
func (f *fakeFeed) version() Version { return Version(len(f.log)) }

func (f *fakeFeed) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// trim discards the history up to the current version.
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

// runFollower runs a follower while steps changes the feed, and returns a line for each callback.
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
		{"history trimmed", func(f *fakeFeed) { f.put("b"); f.trim() },
			[]string{"list 1 outage=false", "list 2 outage=false"}},
		{"an outage during which a row is deleted", func(f *fakeFeed) {
			f.setDown(true)
			time.Sleep(3 * time.Second)
			f.drop("a")
			f.setDown(false)
			time.Sleep(2 * time.Second)
			f.put("c")
		}, []string{"list 1 outage=false", "lost", "regained", "changes outage=true a deleted=true", "changes outage=false c deleted=false"}},
		{"an outage without changes", func(f *fakeFeed) { f.setDown(true); time.Sleep(3 * time.Second); f.setDown(false) },
			[]string{"list 1 outage=false", "lost", "regained", "changes outage=true"}},
		{"an outage after which the history is trimmed", func(f *fakeFeed) {
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

// A table that is unavailable from the start is queried with increasing pauses until it responds.
// The first query after an outage must not wait, so that its response includes no later changes.
func TestFollowerBacksOffWhileUnavailable(t *testing.T) {
	f := &fakeFeed{down: true}
	f.put("a")
	events := runFollower(t, f, func() { time.Sleep(20 * time.Second); f.setDown(false) })
	if diff := cmp.Diff([]string{"lost", "regained", "list 1 outage=true"}, events[:3]); diff != "" {
		t.Error(diff)
	}
	if f.calls < 15 || f.calls > 50 {
		t.Errorf("%d queries in 21 s, want 15 to 50", f.calls)
	}
	f = &fakeFeed{}
	f.put("a")
	runFollower(t, f, func() { f.setDown(true); time.Sleep(2 * time.Second); f.setDown(false) })
	first := slices.Index(f.waits, 0)
	if first < 0 || f.waits[len(f.waits)-1] != DefaultFeedWait {
		t.Errorf("waits %v: want 0 while the table was unavailable, and %v afterwards", f.waits, DefaultFeedWait)
	}
}
