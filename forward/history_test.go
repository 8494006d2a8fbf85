package forward_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/internal/history"
	"github.com/springweir/springweir/service"
	"github.com/springweir/springweir/service/fakeservice"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// wrappers replace the table and the endpoints by variants without a safeguard.
type wrappers struct {
	table    func(table.Service) table.Service
	endpoint func(service.Endpoint) service.Endpoint
}

// randomCalls makes callers send and repeat confirmations through several VMs, some of which are
// paused, while the table and the endpoints fail. It returns the violations found.
func randomCalls(seed uint64, wrap wrappers) []string {
	const vms, callers, keys, requests = 3, 6, 12, 8
	rows := memtable.New()
	rows.SetHook(history.TableFaults(history.NewRandom(seed, 1)))
	endpoints := []*fakeservice.Endpoint{{}, {}}
	router := fakeforward.Router{Observers: new(fakeforward.ObserverCounter)}
	for i, e := range endpoints {
		e.Script(endpointFaults(history.NewRandom(seed, uint64(i)+2)))
		router.Targets = append(router.Targets, forward.Target{Name: fmt.Sprint(i), Service: wrap.endpoint(e)})
	}
	var forwarders []*forward.Forwarder
	for vm := range uint64(vms) {
		paused := &history.Pausing{Service: wrap.table(rows), Random: history.NewRandom(seed, vm+10)}
		claims := claim.NewStore(claim.Config{Table: paused})
		defer claims.Wait()
		forwarders = append(forwarders, forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims}))
	}
	var mu sync.Mutex
	var results []history.CallerResult
	var wg sync.WaitGroup
	for c := range callers {
		dice := history.NewRandom(seed, uint64(c)+100)
		wg.Go(func() {
			for n := range requests {
				time.Sleep(dice.Millis(500))
				t := confirm(forwarders[dice.IntN(vms)], fmt.Sprintf("r%d-%d", c, n), fmt.Sprint("k", dice.IntN(keys)))
				mu.Lock()
				results = append(results, t)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // until all background work has ended
	violations := history.Check(results, runs(endpoints))
	if _, unfinished, repeated := router.Observers.Counts(); unfinished+repeated > 0 {
		violations = append(violations, fmt.Sprintf("%d observers without Finished, %d repeated calls of Finished", unfinished, repeated))
	}
	return violations
}

func confirm(f *forward.Forwarder, request, key string) history.CallerResult {
	work := callWork(request, key, false)
	work.Deadline = time.Now().Add(3 * time.Second)
	work.Call.Body = []byte(key)
	t := history.CallerResult{Request: request, Key: key, Want: "for " + key}
	resp, err := f.Call(context.Background(), work)
	var failed *failure.Request
	if errors.As(err, &failed) {
		t.Ran = failed.Ran
		return t
	}
	t.Got = string(resp.Body)
	return t
}

func runs(endpoints []*fakeservice.Endpoint) []history.Run {
	var out []history.Run
	for _, e := range endpoints {
		for _, r := range e.Records() {
			if r.Ran {
				request, _, _ := strings.Cut(r.Call.Attempt, ".")
				out = append(out, history.Run{Request: request, Key: r.Call.Header.Get(service.IdempotencyKeyHeader)})
			}
		}
	}
	return out
}

func endpointFaults(dice *history.Random) func(service.Call) fakeservice.Behaviour {
	return func(call service.Call) fakeservice.Behaviour {
		b := fakeservice.Behaviour{Body: "for " + string(call.Body), Delay: dice.Millis(50)}
		switch dice.IntN(10) {
		case 0:
			b.Unreachable = true
		case 1, 2, 3:
			b.Refuse = true
		case 4:
			b.DisconnectBeforeRun = true
		case 5, 6:
			b.DisconnectAfterRun = true
		case 7:
			b.Delay = dice.Millis(5000)
		case 8:
			b.ResponseAttempt = "somebody-else"
		}
		return b
	}
}

const historySeeds = 100

// alwaysNotRun reports every failure of an endpoint as not run.
type alwaysNotRun struct{ service.Endpoint }

// Do implements service.Endpoint.
func (h alwaysNotRun) Do(ctx context.Context, call service.Call) (*service.Response, error) {
	resp, err := h.Endpoint.Do(ctx, call)
	if err == nil {
		return resp, nil
	}
	return nil, &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}
}

// swapping returns the response of the previous call under the current call's attempt ID.
type swapping struct {
	service.Endpoint
	mu   sync.Mutex
	last *service.Response
}

// Do implements service.Endpoint.
func (c *swapping) Do(ctx context.Context, call service.Call) (*service.Response, error) {
	resp, err := c.Endpoint.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = resp
		return nil, &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}
	}
	resp, c.last = c.last, resp
	resp.Attempt = call.Attempt
	return resp, nil
}

func TestRandomHistories(t *testing.T) {
	sameTable := func(s table.Service) table.Service { return s }
	sameEndpoint := func(e service.Endpoint) service.Endpoint { return e }
	tests := []struct {
		name     string
		wrappers wrappers
		// minViolating is the least number of histories that must contain violations; zero means
		// that none may.
		minViolating int
	}{
		{"all guards", wrappers{sameTable, sameEndpoint}, 0},
		{"claims without conditions", wrappers{func(s table.Service) table.Service { return history.Unconditional{Service: s} }, sameEndpoint}, historySeeds / 2},
		{"failures taken for not run", wrappers{sameTable, func(e service.Endpoint) service.Endpoint { return alwaysNotRun{e} }}, historySeeds / 2},
		{"answers under a false name", wrappers{sameTable, func(e service.Endpoint) service.Endpoint { return &swapping{Endpoint: e} }}, historySeeds / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violating := 0
			for seed := range uint64(historySeeds) {
				synctest.Test(t, func(t *testing.T) {
					violations := randomCalls(seed, tt.wrappers)
					if len(violations) > 0 {
						violating++
					}
					if tt.minViolating == 0 && len(violations) > 0 {
						t.Errorf("seed %d: %s", seed, strings.Join(violations, "; "))
					}
				})
			}
			t.Logf("violations in %d of %d histories", violating, historySeeds)
			if violating < tt.minViolating {
				t.Errorf("violations in %d histories without the safeguard, want at least %d", violating, tt.minViolating)
			}
		})
	}
}
