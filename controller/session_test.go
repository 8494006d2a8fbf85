package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/transcript"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

// TestSessionOfARoleChange compares the messages that the controller, the zone's entries, the
// engine and the platform exchange during a role change with a golden file: the order is journaled,
// the engine is withheld, the order is sent and observed, the engine is restored, and the order is
// closed.
func TestSessionOfARoleChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession()
		z := newRewiredZone(t, s.rewire, twoEngines,
			engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}},
			engineSpec{"engine-2", engine.Decode, []weightstore.Artifact{chat}})
		defer z.shutDown()
		z.await("engine-2 has taken over", func() bool {
			e, _ := z.headTree().Endpoint("engine-1")
			return e.Drain
		})
		s.log.Golden(t, t.Name())
	})
}

// session records the messages of a zone's controllers. IDs are replaced by numbers in the order of
// their first occurrence. The VM of the leading controller is masked, because any may lead.
type session struct {
	log *transcript.Log

	mu  sync.Mutex
	ids map[string]string
	// seen is the engine state recorded by the last line, or empty if that line is no state.
	seen string
}

func newSession() *session {
	s := &session{log: &transcript.Log{}, ids: map[string]string{}}
	s.log.Mask(`"vm":"vm\d","process":"(id-\d+)","address":"[0-9.:]+"`, `"vm":"<its VM>","process":"$1"`)
	return s
}

var writtenID = regexp.MustCompile(`[A-Z2-7]{26}`)

func (s *session) add(from, to transcript.Party, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = ""
	s.addLocked(from, to, fmt.Sprintf(format, args...))
}

func (s *session) addLocked(from, to transcript.Party, text string) {
	named := writtenID.ReplaceAllStringFunc(text, func(id string) string {
		if s.ids[id] == "" {
			s.ids[id] = fmt.Sprint("id-", len(s.ids)+1)
		}
		return s.ids[id]
	})
	s.log.Add(from, to, "%s", named)
}

// rewire makes a controller use the session's recording wrappers of its dependencies.
func (s *session) rewire(c *Controller) {
	c.platform.Rows = &sessionTable{c.platform.Rows, s}
	c.journal = order.NewJournal(c.platform.Rows)
	c.peers = peer.NewControllerClient(&sessionTransport{c.transport, s})
	const address = "10.0.2.2:9000"
	real := engine.NewClient(engine.Options{Address: address, Dial: c.network.Dial})
	c.targets.clients["engine-2"] = client{address: address, engine: &sessionEngine{real, s}}
}

// sessionTable records the commits that write the journal or the roster.
type sessionTable struct {
	table.Service
	s *session
}

func (t *sessionTable) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	first := txn.Writes[0]
	switch first.Key.Table {
	case order.TableName:
		t.s.add(transcript.Controller, transcript.Platform, "commit %s\nwrite %s: %s", checks(txn), first.Key, first.Value)
	case contact.Key("a").Table:
		r, err := contact.Decode(first.Value)
		if err != nil || len(r.VMs) < 2 {
			return t.Service.Commit(ctx, txn) // the zone is starting
		}
		var withheld []string
		for _, w := range r.Withheld {
			withheld = append(withheld, w.Endpoint)
		}
		if auth := checks(txn); strings.Contains(auth, "language") {
			t.s.add(transcript.Controller, transcript.Platform, "commit %s\nwrite %s: withheld %q", auth, first.Key, withheld)
		}
	}
	return t.Service.Commit(ctx, txn)
}

func checks(txn table.Txn) string {
	var parts []string
	for _, c := range txn.Checks {
		state := "unchanged"
		if c.Version == table.Absent {
			state = "absent"
		}
		parts = append(parts, fmt.Sprintf("if %s is %s", c.Key, state))
	}
	return strings.Join(parts, ", ")
}

// sessionTransport records the Withhold and Restore calls. The entries are called concurrently, so
// that each call is delayed by a different time to make the order deterministic.
type sessionTransport struct {
	http.RoundTripper
	s *session
}

func (t *sessionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	call := path.Base(r.URL.Path)
	if call != "Withhold" && call != "Restore" {
		return t.RoundTripper.RoundTrip(r)
	}
	host := r.URL.Hostname()
	vm := "vm" + host[strings.LastIndexByte(host, '.')+1:]
	time.Sleep(time.Duration(vm[2]-'0') * time.Millisecond)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var withholdReq entrypb.WithholdRequest
	if err := proto.Unmarshal(body, &withholdReq); err != nil {
		return nil, err
	}
	t.s.add(transcript.Controller, transcript.Entry, "%s: %s %s", vm, call, withholdReq.Endpoint)
	r.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		t.s.add(transcript.Entry, transcript.Controller, "%s: %v", vm, err)
		return nil, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	var withholdResp entrypb.WithholdResponse
	if err := proto.Unmarshal(data, &withholdResp); err != nil {
		return nil, err
	}
	t.s.add(transcript.Entry, transcript.Controller, "%s: withheld %t, streams %d", vm, withholdResp.Withheld, withholdResp.Streams)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// sessionEngine records orders, and engine states that differ from the state of the last line.
type sessionEngine struct {
	engine.Engine
	s *session
}

func (e *sessionEngine) State(ctx context.Context) (engine.State, error) {
	state, err := e.Engine.State(ctx)
	text := fmt.Sprintf("engine-2: state: role %s, streams %d, order %s", state.Role, state.Streams, inJSON(state.Order))
	if err != nil {
		text = fmt.Sprint("engine-2: state: ", err)
	}
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if text != e.s.seen {
		e.s.addLocked(transcript.Endpoint, transcript.Controller, text)
	}
	e.s.seen = text
	return state, err
}

func (e *sessionEngine) Order(ctx context.Context, o engine.Order, deadline time.Time) (engine.OrderState, error) {
	e.s.add(transcript.Controller, transcript.Endpoint, "engine-2: order %s", inJSON(o))
	state, err := e.Engine.Order(ctx, o, deadline)
	if err != nil {
		e.s.add(transcript.Endpoint, transcript.Controller, "engine-2: %v", err)
		return state, err
	}
	e.s.add(transcript.Endpoint, transcript.Controller, "engine-2: %s", inJSON(state))
	return state, nil
}

func inJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
