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
type feed struct {
	mu   sync.Mutex
	log  []Change
	gone Version
	away bool
	// waits are the waits of the questions for changes.
	waits []time.Duration
	asked int
}

var errAway = errors.New("away")

func (f *feed) put(row string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, Change{Row: Row{Key: Key{Table: "t", Row: row}, Version: f.now() + 1, Value: []byte("v")}})
}

func (f *feed) drop(row string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, Change{Row: Row{Key: Key{Table: "t", Row: row}, Version: f.now() + 1}, Deleted: true})
}

// now is the version of the newest change. The lock is held.
func (f *feed) now() Version { return Version(len(f.log)) }

func (f *feed) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// forget drops the history up to now.
func (f *feed) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = f.now()
}

func (f *feed) List(context.Context, string) ([]Row, Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.away {
		return nil, 0, &UnavailableError{Cause: errAway}
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
	return list, f.now(), nil
}

func (f *feed) Changes(ctx context.Context, _ string, after Version, wait time.Duration) ([]Change, Version, error) {
	f.mu.Lock()
	f.asked++
	f.waits = append(f.waits, wait)
	f.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		changes, now, err := f.since(after)
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, now, err
		}
	}
}

func (f *feed) since(after Version) ([]Change, Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.away:
		return nil, 0, &UnavailableError{Cause: errAway}
	case after < f.gone:
		return nil, 0, &HistoryGoneError{Table: "t", After: after}
	}
	return slices.Clone(f.log[min(after, f.now()):]), f.now(), nil
}

// follow runs a follower while steps change the feed, and returns what it told.
func follow(t *testing.T, f *feed, steps func()) []string {
	t.Helper()
	var told []string
	follower := &Follower{
		Feed: f, Table: "t",
		OnList: func(rows []Row, l Listing) {
			line := fmt.Sprintf("list %d outage=%v", len(rows), l.AfterOutage)
			if l.NewEpoch {
				line += " new epoch"
			}
			told = append(told, line)
		},
		OnChanges: func(changes []Change, outage bool) {
			if len(changes) == 0 && !outage {
				return
			}
			line := fmt.Sprintf("changes outage=%v", outage)
			for _, c := range changes {
				line += fmt.Sprintf(" %s deleted=%v", c.Row.Key.Row, c.Deleted)
			}
			told = append(told, line)
		},
		OnUnavailable: func(error) { told = append(told, "lost") },
		OnRecovered:   func(time.Duration) { told = append(told, "regained") },
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
	return told
}

func TestFollower(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps func(f *feed)
		want  []string
	}{
		{"changes", func(f *feed) { f.put("b"); time.Sleep(time.Second); f.drop("a") },
			[]string{"list 1 outage=false", "changes outage=false b deleted=false", "changes outage=false a deleted=true"}},
		{"history gone", func(f *feed) { f.put("b"); f.forget() },
			[]string{"list 1 outage=false", "list 2 outage=false"}},
		{"an outage during which a row goes", func(f *feed) {
			f.setAway(true)
			time.Sleep(3 * time.Second)
			f.drop("a")
			f.setAway(false)
			time.Sleep(2 * time.Second)
			f.put("c")
		}, []string{"list 1 outage=false", "lost", "regained", "changes outage=true a deleted=true", "changes outage=false c deleted=false"}},
		{"an outage in which nothing happens", func(f *feed) { f.setAway(true); time.Sleep(3 * time.Second); f.setAway(false) },
			[]string{"list 1 outage=false", "lost", "regained", "changes outage=true"}},
		{"an outage after which the history is gone", func(f *feed) {
			f.setAway(true)
			time.Sleep(3 * time.Second)
			f.drop("a")
			f.forget()
			f.setAway(false)
		}, []string{"list 1 outage=false", "lost", "regained", "list 0 outage=true"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &feed{}
			f.put("a")
			if diff := cmp.Diff(tc.want, follow(t, f, func() { tc.steps(f) })); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A table that is away from the start is asked until it answers, ever more seldom,
// and the first answer after an outage takes in nothing that happens after it.
func TestFollowerAsksSeldomWhileAway(t *testing.T) {
	f := &feed{away: true}
	f.put("a")
	told := follow(t, f, func() { time.Sleep(20 * time.Second); f.setAway(false) })
	if diff := cmp.Diff([]string{"lost", "regained", "list 1 outage=true"}, told[:3]); diff != "" {
		t.Error(diff)
	}
	if f.asked < 15 || f.asked > 50 {
		t.Errorf("asked %d times in 21 s", f.asked)
	}
	f = &feed{}
	f.put("a")
	follow(t, f, func() { f.setAway(true); time.Sleep(2 * time.Second); f.setAway(false) })
	first := slices.Index(f.waits, 0)
	if first < 0 || f.waits[len(f.waits)-1] != DefaultFeedWait {
		t.Errorf("waits %v: want none while the table was away, and %v after", f.waits, DefaultFeedWait)
	}
}
