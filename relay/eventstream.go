package relay

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
	"github.com/springweir/springweir/memory"
)

// openStream is a streamed response in progress. Its events are read in a goroutine of their own, so
// that the relay can turn to a replacement while the endpoint is silent, and still go on with this
// response if the replacement fails.
type openStream struct {
	response Response
	plan     Plan
	dog      *watchdog.Watchdog
	// stallTimeout is how long the attempt may take until its first event. If it is zero, the attempt
	// has no replacement and may take any time. sentAt is when the attempt began.
	stallTimeout time.Duration
	sentAt       time.Time
	// begun is set once an event was forwarded, and heardAt is when the endpoint last sent one, or the head.
	begun   bool
	heardAt time.Time
	// silence is how long the endpoint had been silent at the last check, since it last sent an event.
	silence time.Duration
	// resumesRun is set if the attempt resumes a run on its backup, and counted once the attempt was
	// counted.
	resumesRun, counted bool
	// hasFallback is set if an error response was kept as fallback before the attempt was sent.
	hasFallback bool
	// replaceableAt is when the stream may be replaced again after a failed replacement, and final is
	// set if it must not be replaced again.
	replaceableAt time.Time
	final         bool
	items         chan streamItem
	closed        chan struct{}
	// unread is the longest time for which nothing was read from the endpoint because the caller took none of it. It
	// belongs to the goroutine that reads the events.
	unread time.Duration

	// mu guards the fields below. It is a leaf lock.
	mu    sync.Mutex
	phase streamPhase
	// cancelReplacement ends the attempt that is to replace this one, and released is called once if
	// the stream is given up in favour of it. Both are set while the stream is held.
	cancelReplacement, released func()
	// holds counts how often the stream was held.
	holds int
}

// streamItem is an event or the end of a stream.
type streamItem struct {
	event event
	err   error
	// unread, with err, is openStream.unread at the end.
	unread time.Duration
}

// streamPhase is the phase of an openStream.
type streamPhase int

const (
	// forwarding means that the events are forwarded to the caller.
	forwarding streamPhase = iota
	// held means that the endpoint is silent and a replacement is prepared, but not yet sent.
	held
	// overlapping means that the replacement was sent and has precedence.
	overlapping
	// resumed means that the endpoint has sent an event while the stream was held, or has completed
	// its response.
	resumed
	// ended means that the stream was closed.
	ended
)

// start reads the events of the response, each up to maxEvent bytes long, until its end or until the stream is
// closed. Long events are held in memory of the budget.
func (s *openStream) start(maxEvent int, budget *memory.Budget) {
	s.items, s.closed = make(chan streamItem, 1), make(chan struct{})
	reservation := budget.Open()
	go func() {
		defer reservation.Release()
		s.read(newEventReader(s.response, maxEvent, reservation))
	}()
}

// read passes on the events and closes the response once it has ended.
func (s *openStream) read(events *eventReader) {
	for {
		e, err := events.next()
		if err != nil {
			s.response.Close() // before the end is passed on, since that cancels the context
			s.pass(streamItem{err: err, unread: s.unread})
			return
		}
		e.raw = bytes.Clone(e.raw)
		if !s.pass(streamItem{event: e}) {
			s.response.Close()
			return
		}
	}
}

// pass passes an item on and reports whether the stream is still open.
func (s *openStream) pass(item streamItem) bool {
	if s.offer(item) {
		return true
	}
	since := clock.Now()
	select {
	case s.items <- item:
		s.unread = max(s.unread, clock.Since(since))
		return true
	case <-s.closed:
		return false
	}
}

// unreadLimit is how long an endpoint keeps an answer at least that nobody reads. One that is broken off after a
// longer time without reads is no sign of a fault of the endpoint.
const unreadLimit = time.Second

// brokenOff returns the failure of a stream that ended early.
func (i streamItem) brokenOff() *failure.Request {
	failed := interrupted(i.err)
	if i.unread >= unreadLimit {
		failed.Code, failed.Message = failure.AnswerUnread, "the answer broke off after the caller had not read it for a while"
	}
	return failed
}

// offer passes an item on if no other one is waiting, and reports whether it did. The item may end the
// replacement of a held stream.
func (s *openStream) offer(item streamItem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.items <- item:
	default:
		return false
	}
	if s.phase == held && (item.err == nil || item.err == io.EOF) || s.phase == overlapping && item.err == io.EOF {
		s.phase = resumed
		s.cancelReplacement()
	}
	return true
}

// close closes the response and its connection, unless the response has ended.
func (s *openStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

// end closes the stream once. The caller holds mu.
func (s *openStream) end() {
	if s.phase == ended {
		return
	}
	s.phase = ended
	close(s.closed)
	s.dog.Stop()
}

// hold keeps the stream open while a replacement is tried. If an event arrives before that was sent, it
// calls cancelReplacement. If the stream is given up, it calls released.
func (s *openStream) hold(cancelReplacement, released func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds++
	if len(s.items) > 0 {
		s.phase = resumed
		cancelReplacement()
		return
	}
	s.phase, s.cancelReplacement, s.released = held, cancelReplacement, released
}

// startOverlap releases the stream after maxOverlap, since its replacement is sent now. It returns false
// if the stream has gone on before.
func (s *openStream) startOverlap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != held {
		return false
	}
	s.phase = overlapping
	hold := s.holds
	time.AfterFunc(maxOverlap, func() { s.releaseHold(hold) })
	return true
}

// release closes a held stream in favour of its replacement, and reports whether the stream is
// closed. It is not if it has gone on before.
func (s *openStream) release() bool { return s.releaseHold(anyHold) }

// anyHold stands for whichever hold of a stream is current.
const anyHold = 0

// releaseHold releases the stream if it is held for the nth time.
func (s *openStream) releaseHold(n int) bool {
	closed, released := s.endHold(n)
	if released != nil {
		released()
	}
	return closed
}

// endHold closes the stream if it is held for the nth time, and returns the function that reports this.
// It also reports whether the stream is closed.
func (s *openStream) endHold(n int) (closed bool, released func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (n == anyHold || n == s.holds) && (s.phase == held || s.phase == overlapping) {
		s.end()
		return true, s.released
	}
	return s.phase == ended, nil
}

// isHeld reports whether the stream is open and may go on.
func (s *openStream) isHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != ended
}

// reclaim ends the holding of a stream and reports whether it is still open.
func (s *openStream) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == ended {
		return false
	}
	s.phase = forwarding
	s.holds++ // the timer of this hold has no effect any more
	return true
}
