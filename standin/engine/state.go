package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin/enginemodel"
)

const (
	// reportInterval is the real time between two load reports.
	reportInterval = 100 * time.Millisecond
	// maxReports is the number of reports retained for Options.ReportLag.
	maxReports = 256
	// maxEvents is the number of cache events retained; a query for older ones gets a snapshot.
	maxEvents = 8192
)

type report struct {
	at   time.Duration
	load engine.Load
}

// reportLog holds the latest load reports, oldest first.
type reportLog struct {
	reports  []report
	sequence uint64
}

// due reports whether reportInterval has passed since the last report.
func (l *reportLog) due(now time.Duration) bool {
	n := len(l.reports)
	return n == 0 || now-l.reports[n-1].at >= reportInterval
}

func (l *reportLog) add(now time.Duration, load engine.Load, recent []string) {
	l.sequence++
	load.Sequence = l.sequence
	load.Recent = recent
	l.reports = append(l.reports, report{at: now, load: load})
	if len(l.reports) > maxReports {
		l.reports = slices.Delete(l.reports, 0, 1)
	}
}

// lagged returns the newest report that is at least lag old, or else the oldest.
func (l *reportLog) lagged(now, lag time.Duration) engine.Load {
	if len(l.reports) == 0 {
		return engine.Load{}
	}
	at := len(l.reports) - 1
	for at > 0 && now-l.reports[at].at < lag {
		at--
	}
	load := l.reports[at].load
	load.AgeMillis = (now - l.reports[at].at).Milliseconds()
	return load
}

// recentAttempts returns the IDs of the recent attempts that the model's load includes.
// The caller holds mu.
func (s *Server) recentAttempts() []string {
	var out []string
	for _, id := range s.model.Recent() {
		if a, ok := s.byJob[id]; ok {
			out = append(out, a.req.Attempt)
		}
	}
	return out
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode(s.State()))
}

// State returns the state that the engine reports.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.State{
		Incarnation:  s.opts.Incarnation,
		Role:         s.model.Role(),
		Loaded:       slices.Clone(s.loaded),
		Streams:      s.streams,
		Leaving:      s.leaving,
		Order:        s.orderBook.State(),
		HighestFence: s.orderBook.Highest(),
		Load:         s.reports.lagged(time.Since(s.start), s.opts.ReportLag),
	}
}

type loggedEvent struct {
	at time.Duration
	engine.CacheEvent
}

// eventLog holds the latest cache events. Dropped events consume a sequence number.
type eventLog struct {
	events []loggedEvent
	// next is the sequence number of the next event; the first is 1.
	next uint64
	// evicted is the highest sequence number evicted from the log.
	evicted uint64
}

func (l *eventLog) add(now time.Duration, changes []enginemodel.CacheChange, gap uint64) {
	for _, c := range changes {
		l.next = max(l.next, 1)
		if gap == 0 || l.next%gap != 0 {
			ev := engine.CacheEvent{Sequence: l.next, Hash: c.Hash, Stored: c.Stored}
			l.events = append(l.events, loggedEvent{at: now, CacheEvent: ev})
		}
		l.next++
	}
	if over := len(l.events) - maxEvents; over > 0 {
		l.evicted = l.events[over-1].Sequence
		l.events = slices.Delete(l.events, 0, over)
	}
}

// since returns the events from the given sequence number on that occurred no later than by,
// and the sequence number to continue from. It reports true if the log no longer reaches back
// to the given number.
func (l *eventLog) since(sequence uint64, by time.Duration) ([]engine.CacheEvent, uint64, bool) {
	if sequence <= l.evicted {
		return nil, max(l.next, 1), true
	}
	next := sequence
	var out []engine.CacheEvent
	for _, ev := range l.events {
		if ev.Sequence >= sequence && ev.at <= by {
			out = append(out, ev.CacheEvent)
			next = ev.Sequence + 1
		}
	}
	return out, next, false
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(engine.SinceParam), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events, next, old := s.events.since(since, time.Since(s.start)-s.opts.EventLag)
	out := engine.CacheEvents{Incarnation: s.opts.Incarnation, Events: events, Next: next}
	if old {
		out.Snapshot = s.model.CachedBlocks()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode(out))
}
