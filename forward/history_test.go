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

// guards are the parts that a test may take out.
type guards struct {
	table    func(table.Service) table.Service
	endpoint func(service.Endpoint) service.Endpoint
}

// randomCalls lets callers confirm and repeat through several VMs, some of them
// paused, while table and endpoints fail. It returns the promises broken.
func randomCalls(seed uint64, g guards) []string {
	const vms, callers, keys, requests = 3, 6, 12, 8
	rows := memtable.New()
	rows.SetHook(history.TableFaults(history.NewDice(seed, 1)))
	endpoints := []*fakeservice.Endpoint{{}, {}}
	router := fakeforward.Router{Observers: new(fakeforward.ObserverCounter)}
	for i, e := range endpoints {
		e.Script(endpointFaults(history.NewDice(seed, uint64(i)+2)))
		router.Targets = append(router.Targets, forward.Target{Name: fmt.Sprint(i), Service: g.endpoint(e)})
	}
	var entries []*forward.Forwarder
	for vm := range uint64(vms) {
		paused := &history.Pausing{Service: g.table(rows), Dice: history.NewDice(seed, vm+10)}
		claims := claim.NewStore(claim.Config{Table: paused})
		defer claims.Wait()
		entries = append(entries, forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims}))
	}
	var mu sync.Mutex
	var told []history.Told
	var wg sync.WaitGroup
	for c := range callers {
		dice := history.NewDice(seed, uint64(c)+100)
		wg.Go(func() {
			for n := range requests {
				time.Sleep(dice.Millis(500))
				t := confirm(entries[dice.Roll(vms)], fmt.Sprintf("r%d-%d", c, n), fmt.Sprint("k", dice.Roll(keys)))
				mu.Lock()
				told = append(told, t)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // what still runs has run then
	broken := history.Check(told, runs(endpoints))
	if _, open, twice := router.Observers.Counts(); open+twice > 0 {
		broken = append(broken, fmt.Sprintf("%d observers not told of the end, %d twice", open, twice))
	}
	return broken
}

func confirm(f *forward.Forwarder, request, key string) history.Told {
	work := callWork(request, key, false)
	work.Deadline = time.Now().Add(3 * time.Second)
	work.Call.Body = []byte(key)
	t := history.Told{Request: request, Key: key, Want: "for " + key}
	reply, err := f.Call(context.Background(), work)
	var failed *failure.Request
	if errors.As(err, &failed) {
		t.Ran = failed.Ran
		return t
	}
	t.Got = string(reply.Body)
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

func endpointFaults(dice *history.Dice) func(service.Call) fakeservice.Behaviour {
	return func(call service.Call) fakeservice.Behaviour {
		b := fakeservice.Behaviour{Body: "for " + string(call.Body), Delay: dice.Millis(50)}
		switch dice.Roll(10) {
		case 0:
			b.Unreachable = true
		case 1, 2, 3:
			b.Refuse = true
		case 4:
			b.BreakBefore = true
		case 5, 6:
			b.BreakAfter = true
		case 7:
			b.Delay = dice.Millis(5000)
		case 8:
			b.AnswerAs = "somebody-else"
		}
		return b
	}
}

const historySeeds = 100

// hopeful calls every failure of an endpoint not run.
type hopeful struct{ service.Endpoint }

// Do implements service.Endpoint.
func (h hopeful) Do(ctx context.Context, call service.Call) (*service.Answer, error) {
	answer, err := h.Endpoint.Do(ctx, call)
	if err == nil {
		return answer, nil
	}
	return nil, &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}
}

// crossing answers each call with the answer to the one before, under a false name.
type crossing struct {
	service.Endpoint
	mu   sync.Mutex
	last *service.Answer
}

// Do implements service.Endpoint.
func (c *crossing) Do(ctx context.Context, call service.Call) (*service.Answer, error) {
	answer, err := c.Endpoint.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = answer
		return nil, &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}
	}
	answer, c.last = c.last, answer
	answer.Attempt = call.Attempt
	return answer, nil
}

func TestHistories(t *testing.T) {
	sameTable := func(s table.Service) table.Service { return s }
	sameEndpoint := func(e service.Endpoint) service.Endpoint { return e }
	tests := []struct {
		name   string
		guards guards
		// atLeast histories must be objected to; with all guards, none may be.
		atLeast int
	}{
		{"all guards", guards{sameTable, sameEndpoint}, 0},
		{"claims without conditions", guards{func(s table.Service) table.Service { return history.Unconditional{Service: s} }, sameEndpoint}, historySeeds / 2},
		{"failures taken for not run", guards{sameTable, func(e service.Endpoint) service.Endpoint { return hopeful{e} }}, historySeeds / 2},
		{"answers under a false name", guards{sameTable, func(e service.Endpoint) service.Endpoint { return &crossing{Endpoint: e} }}, historySeeds / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			objections := 0
			for seed := range uint64(historySeeds) {
				synctest.Test(t, func(t *testing.T) {
					broken := randomCalls(seed, tt.guards)
					if len(broken) > 0 {
						objections++
					}
					if tt.atLeast == 0 && len(broken) > 0 {
						t.Errorf("seed %d: %s", seed, strings.Join(broken, "; "))
					}
				})
			}
			t.Logf("objected to %d of %d histories", objections, historySeeds)
			if objections < tt.atLeast {
				t.Errorf("objected to %d histories without the guard, want at least %d", objections, tt.atLeast)
			}
		})
	}
}
