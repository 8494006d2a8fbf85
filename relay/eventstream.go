package relay

import (
	"bytes"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/watchdog"
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
	// resumesRun is set if the attempt resumes a run on its backup, and counted once the attempt was
	// counted.
	resumesRun, counted bool
	items               chan streamItem
	closed              chan struct{}

	// mu guards the fields below. It is a leaf lock.
	mu    sync.Mutex
	phase streamPhase
	// cancelReplacement ends the attempt that is to replace this one; set while the stream is held.
	cancelReplacement func()
}

// streamItem is an event or the end of a stream.
type streamItem struct {
	event event
	err   error
}

// streamPhase is the phase of an openStream.
type streamPhase int

const (
	// forwarding means that the events are forwarded to the caller.
	forwarding streamPhase = iota
	// held means that the endpoint is silent and a replacement is being tried.
	held
	// resumed means that the endpoint has sent an event while the stream was held.
	resumed
	// ended means that the stream was closed.
	ended
)

// start reads the events of the response until its end or until the stream is closed.
func (s *openStream) start() {
	s.items, s.closed = make(chan streamItem, 1), make(chan struct{})
	go s.read()
}

// read passes on the events and closes the response once it has ended.
func (s *openStream) read() {
	events := newEventReader(s.response)
	for {
		e, err := events.next()
		if err != nil {
			s.response.Close() // before the end is passed on, since that cancels the context
			s.pass(streamItem{err: err})
			return
		}
		e.raw = bytes.Clone(e.raw)
		s.resume()
		if !s.pass(streamItem{event: e}) {
			s.response.Close()
			return
		}
	}
}

// pass passes an item on and reports whether the stream is still open.
func (s *openStream) pass(item streamItem) bool {
	select {
	case s.items <- item:
		return true
	case <-s.closed:
		return false
	}
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

// hold keeps the stream open while a replacement is tried. If an event arrives meanwhile, it calls
// cancelReplacement.
func (s *openStream) hold(cancelReplacement func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items) > 0 {
		s.phase = resumed
		cancelReplacement()
		return
	}
	s.phase, s.cancelReplacement = held, cancelReplacement
}

// resume ends the replacement of a held stream because the endpoint has sent an event.
func (s *openStream) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == held {
		s.phase = resumed
		s.cancelReplacement()
	}
}

// release closes a held stream in favour of its replacement, and reports whether the stream is
// closed. It is not if an event has arrived before.
func (s *openStream) release() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == held {
		s.end()
	}
	return s.phase == ended
}

// reclaim ends the holding of a stream and reports whether it is still open.
func (s *openStream) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == ended {
		return false
	}
	s.phase = forwarding
	return true
}
