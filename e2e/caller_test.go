package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
)

// outcome classifies the result of a request as its caller sees it.
type outcome string

const (
	// complete is a complete, correct response.
	complete outcome = "complete"
	// refused is a typed failure which states that the request was not run.
	refused outcome = "refused"
	// unknown is a typed failure that leaves open whether the request ran.
	unknown outcome = "unknown"
	// interrupted is a stream that ended with a typed error event.
	interrupted outcome = "interrupted"
	// disconnected is a connection that closed without a response or an error event.
	disconnected outcome = "disconnected"
	// unsent is a request whose connection could not be opened.
	unsent outcome = "unsent"
	// incorrect is a response that ended normally with the wrong content.
	incorrect outcome = "incorrect"
)

// request is a streaming completion or, if key is set, a call to the service.
type request struct {
	// model and prompt are set for a stream; key is the idempotency key of a call.
	model, prompt, key string
}

// result is a request and its outcome.
type result struct {
	request
	vm        string
	kind      outcome
	status    int
	reason    failure.Reason
	id        string
	text      string
	retry     string
	startedAt time.Time
	elapsed   time.Duration
}

var serial atomic.Int64

// newStream returns a streaming request whose response has at least 40 tokens.
func (s *site) newStream() request { return request{model: "chat", prompt: promptOf(40)} }

// promptOf returns a unique prompt whose response has at least the given number of tokens.
func promptOf(tokens int) string {
	for {
		p := fmt.Sprintf("May container %d stand here?", serial.Add(1))
		if n, _ := enginemodel.AnswerTokens(p, 0); n >= tokens {
			return p
		}
	}
}

// newCall returns a non-repeatable service call with a unique idempotency key.
func (s *site) newCall() request { return request{key: fmt.Sprintf("slot-%d", serial.Add(1))} }

// callerClient opens a connection for each request, so that a closed connection always belongs to
// the request that used it.
var callerClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
}}

// send sends a request to a VM and reads the response to its end.
func (s *site) send(v *vm, q request) (r result) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	r = result{request: q, vm: v.name, startedAt: time.Now()}
	defer func() { r.elapsed = time.Since(r.startedAt) }()
	path, body := wire.PathServices+slotService+"/confirm", []byte(`{"slot":1}`)
	if q.key == "" {
		path = wire.PathCompletions
		body, _ = json.Marshal(wire.Request{Model: q.model, Prompt: q.prompt, Stream: true})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers()+path, bytes.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return r
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if q.key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, q.key)
		req.GetBody = nil // otherwise net/http may retry the call
	}
	resp, err := callerClient.Do(req)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		r.kind = unsent
		return r
	case err != nil:
		r.kind = disconnected
		return r
	}
	defer resp.Body.Close()
	r.status, r.id = resp.StatusCode, resp.Header.Get(wire.HeaderRequest)
	r.retry = resp.Header.Get("Retry-After")
	switch {
	case resp.Header.Get(wire.HeaderReason) != "":
		r.readFailure(resp.Body)
	case q.key != "":
		r.readCall(resp.Body)
	default:
		r.readStream(resp.Body)
	}
	return r
}

// readFailure decodes the body of a typed failure.
func (r *result) readFailure(body io.Reader) {
	var e wire.ErrorBody
	if json.NewDecoder(body).Decode(&e) != nil {
		r.kind = disconnected
		return
	}
	r.reason = e.Error.Reason
	r.kind = unknown
	if e.Error.Outcome == failure.NotRun {
		r.kind = refused
	}
}

// readCall reads the response of the service.
func (r *result) readCall(body io.Reader) {
	var reply struct{ Call string }
	data, err := io.ReadAll(body)
	r.text = string(data)
	switch {
	case err != nil:
		r.kind = disconnected
	case json.Unmarshal(data, &reply) != nil || reply.Call != r.key:
		r.kind = incorrect
	default:
		r.kind = complete
	}
}

// readStream reads a stream to its end.
func (r *result) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	r.kind = disconnected
	var text strings.Builder
	event := ""
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case strings.HasPrefix(lines.Text(), "event: "):
			event = strings.TrimPrefix(lines.Text(), "event: ")
		case !isData:
		case event == "error":
			r.readFailure(strings.NewReader(data))
			r.kind = interrupted
		case data == wire.DoneEvent:
			r.kind = r.classifyText(text.String())
		default:
			var piece wire.Response
			if json.Unmarshal([]byte(data), &piece) == nil && len(piece.Choices) == 1 && piece.Choices[0].Text != nil {
				text.WriteString(*piece.Choices[0].Text)
			}
		}
	}
	r.text = text.String()
}

// classifyText compares a text with the expected response to the prompt.
func (r *result) classifyText(text string) outcome {
	n, _ := enginemodel.AnswerTokens(r.prompt, 0)
	if text != enginemodel.AnswerText(r.prompt, 0, n) {
		return incorrect
	}
	return complete
}

// String summarises the result for test failure messages.
func (r result) String() string {
	return fmt.Sprintf("%s to %s: %s %d %s after %v (%d bytes)", r.id+r.key, r.vm, r.kind, r.status, r.reason, r.elapsed, len(r.text))
}

// load is a set of callers that send requests continuously, each one at a time, through a load
// balancer that excludes VMs whose readiness check fails.
type load struct {
	s       *site
	stopped chan struct{}
	wg      sync.WaitGroup
	next    atomic.Int64

	mu      sync.Mutex
	ready   []*vm
	results []result
	// lastStream is the start time of the latest stream at each VM.
	lastStream map[*vm]time.Time
}

// requestInterval is the delay between two requests of one caller.
const requestInterval = 100 * time.Millisecond

// startLoad starts callers that send requests to the VMs. The request makers are assigned to the
// callers round robin.
func (s *site) startLoad(callers int, vms []*vm, makers ...func() request) *load {
	l := &load{s: s, stopped: make(chan struct{}), ready: vms, lastStream: map[*vm]time.Time{}}
	l.wg.Go(func() { l.balance(vms) })
	for i := range callers {
		l.wg.Go(func() { l.run(makers[i%len(makers)]) })
	}
	return l
}

func (l *load) running() bool {
	select {
	case <-l.stopped:
		return false
	default:
		return true
	}
}

// balance polls the readiness checks. If no VM is ready it keeps the last set that was, as load
// balancers do.
func (l *load) balance(vms []*vm) {
	for l.running() {
		var ok []*vm
		for _, v := range vms {
			if ready(v) {
				ok = append(ok, v)
			}
		}
		if len(ok) > 0 {
			l.mu.Lock()
			l.ready = ok
			l.mu.Unlock()
		}
		time.Sleep(requestInterval)
	}
}

func (l *load) run(newRequest func() request) {
	for l.running() {
		l.mu.Lock()
		v := l.ready[int(l.next.Add(1))%len(l.ready)]
		q := newRequest()
		if q.key == "" {
			l.lastStream[v] = time.Now()
		}
		l.mu.Unlock()
		r := l.s.send(v, q)
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

// count returns the number of results of a kind so far.
func (l *load) count(kind outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return countOutcomes(l.results)[kind]
}

// awaitMore waits for n more complete responses.
func (l *load) awaitMore(n int) {
	l.s.t.Helper()
	before := l.count(complete)
	await(l.s.t, fmt.Sprintf("%d more complete responses", n), func() bool { return l.count(complete) >= before+n })
}

// awaitStream waits until a stream was started at a VM within the last second.
func (l *load) awaitStream(v *vm) {
	l.s.t.Helper()
	await(l.s.t, "a new stream at "+v.name, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return time.Since(l.lastStream[v]) < time.Second
	})
}

// stop waits for the requests in flight and returns all results.
func (l *load) stop() []result {
	close(l.stopped)
	l.wg.Wait()
	return l.results
}

func countOutcomes(results []result) map[outcome]int {
	counts := map[outcome]int{}
	for _, r := range results {
		counts[r.kind]++
	}
	return counts
}

// check fails the test for each result whose kind is not allowed, and compares the results with
// the executions that the stand-ins recorded. Killed stand-ins have lost their records and are
// skipped.
func (s *site) check(results []result, allowed ...outcome) {
	s.t.Helper()
	s.t.Logf("%d requests: %v", len(results), countOutcomes(results))
	ok := map[outcome]bool{}
	for _, kind := range allowed {
		ok[kind] = true
	}
	ran, calls := s.executions()
	for _, r := range results {
		if !ok[r.kind] {
			s.t.Errorf("outcome not allowed: %v", r)
		}
		if r.kind == refused && (ran[r.id] || calls[r.key] > 0) {
			s.t.Errorf("reported as not run, but ran: %v", r)
		}
		if r.key == "" {
			continue
		}
		if calls[r.key] > 1 {
			s.t.Errorf("ran %d times: %v", calls[r.key], r)
		}
		if r.kind == complete && calls[r.key] != 1 {
			s.t.Errorf("complete response, but ran %d times: %v", calls[r.key], r)
		}
	}
}

// executions collects from the stand-ins which requests ran and how often each call ran.
func (s *site) executions() (requests map[string]bool, calls map[string]int) {
	s.t.Helper()
	requests, calls = map[string]bool{}, map[string]int{}
	for _, e := range s.endpoints {
		select {
		case <-e.proc.ended:
			continue
		default:
		}
		if e.pool == "" {
			for key, n := range s.serviceRuns(e) {
				calls[key] += n
			}
			continue
		}
		for _, a := range s.history(e).Attempts {
			requests[a.ID] = requests[a.ID] || a.Ran
		}
	}
	return requests, calls
}
