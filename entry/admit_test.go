package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// decodingStreams is the number of responses being decoded when the long prompt arrives.
const decodingStreams = 3

// TestLongPromptSentBesideDecoding checks that a long prompt is sent immediately to an
// engine that is decoding responses: decoding slows the prefill down, but no prompt is
// queued before it.
func TestLongPromptSentBesideDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines, o.speed = 1, slowEngines
		s := newTestZone(t, o)
		defer s.shutDown()
		ended := make(chan int, decodingStreams+1)
		send := func(r request) {
			status, _, _ := s.do(t.Context(), r)
			ended <- status
		}
		for range decodingStreams {
			go send(chatRequest(longPrompt(), 127, true))
		}
		time.Sleep(time.Second)
		go send(chatRequest(strings.Repeat("The permit of the municipality says. ", 1200), 8, false))
		time.Sleep(500 * time.Millisecond)
		if s.entry.upstreams.waiting() != 0 || s.entry.gate.Streams("engine-0") != decodingStreams+1 {
			t.Errorf("%d requests are queued and %d are at the engine, want none and all", s.entry.upstreams.waiting(), s.entry.gate.Streams("engine-0"))
		}
		for range decodingStreams + 1 {
			if status := <-ended; status != http.StatusOK {
				t.Errorf("a request ended with status %d", status)
			}
		}
	})
}
