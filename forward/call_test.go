package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/service"
	"github.com/springweir/springweir/service/fakeservice"
	"github.com/springweir/springweir/table/memtable"
)

// callWork returns a confirmation call with the idempotency key, if any.
func callWork(id, key string, repeatable bool) *forward.Work {
	header := http.Header{}
	if key != "" {
		header.Set(service.IdempotencyKeyHeader, key)
	}
	return &forward.Work{
		ID: id, Organisation: "kliko", Service: "slots", Repeatable: repeatable, IdempotencyKey: key,
		Deadline: time.Now().Add(10 * time.Second),
		Call:     service.Call{Method: http.MethodPost, Path: "/confirm", Header: header, Body: []byte("slot 7")},
	}
}

func twoServices() (a, b *fakeservice.Endpoint, router fakeforward.Router) {
	a, b = new(fakeservice.Endpoint), new(fakeservice.Endpoint)
	return a, b, fakeforward.Router{Targets: []forward.Target{
		{Name: "a", Pool: "s", Service: a},
		{Name: "b", Pool: "s", Service: b},
	}}
}

func behave(b fakeservice.Behaviour) func(service.Call) fakeservice.Behaviour {
	return func(service.Call) fakeservice.Behaviour { return b }
}

func runCount(e *fakeservice.Endpoint) int {
	n := 0
	for _, r := range e.Records() {
		if r.Ran {
			n++
		}
	}
	return n
}

func TestCall(t *testing.T) {
	type behaviour = fakeservice.Behaviour
	type result struct {
		Failure    errorKind
		Body       string
		RanA, RanB int
		// CallsA and CallsB count the calls that reached the endpoints.
		CallsA, CallsB int
	}
	refused := errorKind{failure.EndpointRefused, failure.NotRun}
	crashed := errorKind{failure.EndpointBroke, failure.Unknown}
	tests := []struct {
		name       string
		key        string
		repeatable bool
		a          behaviour
		want       result
	}{
		{"whole", "", false, behaviour{}, result{Body: "ok", RanA: 1, CallsA: 1}},
		{"repeatable, crash after run", "", true, behaviour{DisconnectAfterRun: true}, result{Body: "ok", RanA: 1, RanB: 1, CallsA: 1, CallsB: 1}},
		{"repeatable, refused", "", true, behaviour{Refuse: true}, result{Body: "ok", RanB: 1, CallsA: 1, CallsB: 1}},
		{"key, crash after run", "k", false, behaviour{DisconnectAfterRun: true}, result{Failure: crashed, RanA: 1, CallsA: 1}},
		{"key, crash before run", "k", false, behaviour{DisconnectBeforeRun: true}, result{Failure: crashed, CallsA: 1}},
		{"key, refused", "k", false, behaviour{Refuse: true}, result{Body: "ok", RanB: 1, CallsA: 1, CallsB: 1}},
		{"key, unreachable", "k", false, behaviour{Unreachable: true}, result{Body: "ok", RanB: 1, CallsB: 1}},
		{"key, crossed answer", "k", false, behaviour{ResponseAttempt: "r0.1"},
			result{Failure: errorKind{failure.AnswerMismatch, failure.Unknown}, RanA: 1, CallsA: 1}},
		{"no key, refused", "", false, behaviour{Refuse: true}, result{Failure: refused, CallsA: 1}},
		{"no key, unreachable", "", false, behaviour{Unreachable: true},
			result{Failure: errorKind{failure.EndpointUnreachable, failure.NotRun}}},
		{"no key, crash after run", "", false, behaviour{DisconnectAfterRun: true}, result{Failure: crashed, RanA: 1, CallsA: 1}},
		{"no key, answer too late", "", false, behaviour{ResponseDelay: time.Minute},
			result{Failure: errorKind{failure.DeadlinePassed, failure.Unknown}, RanA: 1, CallsA: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoServices()
				a.Script(behave(tt.a))
				claims := claim.NewStore(claim.Config{Table: memtable.New()})
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
				resp, err := f.Call(t.Context(), callWork("r1", tt.key, tt.repeatable))
				got := result{Failure: errorKindOf(t, err), RanA: runCount(a), RanB: runCount(b), CallsA: len(a.Records()), CallsB: len(b.Records())}
				if resp != nil {
					got.Body = string(resp.Body)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				time.Sleep(time.Hour) // a late response must not reach anyone
			})
		})
	}
}

// TestLateResponseIsStored: the caller gets its failure at the deadline; the endpoint's response
// arrives later and is stored for the repeat.
func TestLateResponseIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, router := twoServices()
		a.Script(behave(fakeservice.Behaviour{ResponseDelay: 25 * time.Second}))
		claims := claim.NewStore(claim.Config{Table: memtable.New()})
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
		start := time.Now()
		want := []errorKind{{failure.DeadlinePassed, failure.Unknown}, {failure.ClaimInProgress, failure.Unknown}, {}}
		for i, w := range want {
			resp, err := f.Call(t.Context(), callWork("r", "k", false))
			if diff := cmp.Diff(w, errorKindOf(t, err)); diff != "" {
				t.Errorf("attempt %d (-want +got):\n%s", i, diff)
			}
			if resp != nil && (!resp.Replayed || string(resp.Body) != "ok") {
				t.Errorf("attempt %d: response %+v, want the stored one", i, resp)
			}
			if d := time.Since(start); i == 0 && d != 10*time.Second {
				t.Errorf("returned after %v, want at the deadline", d)
			}
			time.Sleep(10 * time.Second)
		}
		if got := a.Runs("k"); got != 1 {
			t.Errorf("ran %d times, want once", got)
		}
	})
}

// TestRepeatAfterFailure: both endpoints fail a call with a key in the same way and then recover,
// and the caller repeats the call through another VM. The repeat may run only if the first call
// provably did not.
func TestRepeatAfterFailure(t *testing.T) {
	type behaviour = fakeservice.Behaviour
	type result struct {
		First, Repeat errorKind
		Runs          int
	}
	notRun := func(r failure.Reason) errorKind { return errorKind{r, failure.NotRun} }
	unknown := func(r failure.Reason) errorKind { return errorKind{r, failure.Unknown} }
	claimUnknown := unknown(failure.ClaimUnknown)
	for _, tt := range []struct {
		name  string
		crash behaviour
		want  result
	}{
		{"nothing was sent", behaviour{Unreachable: true}, result{notRun(failure.EndpointUnreachable), errorKind{}, 1}},
		{"refused before the start", behaviour{Refuse: true}, result{notRun(failure.EndpointRefused), errorKind{}, 1}},
		{"crash before the run", behaviour{DisconnectBeforeRun: true}, result{unknown(failure.EndpointBroke), claimUnknown, 0}},
		{"crash after the run", behaviour{DisconnectAfterRun: true}, result{unknown(failure.EndpointBroke), claimUnknown, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoServices()
				rows := memtable.New()
				call := func(id string) errorKind {
					claims := claim.NewStore(claim.Config{Table: rows, Owner: id})
					f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
					_, err := f.Call(t.Context(), callWork(id, "k", false))
					return errorKindOf(t, err)
				}
				a.Script(behave(tt.crash))
				b.Script(behave(tt.crash))
				var got result
				got.First = call("first")
				time.Sleep(time.Minute) // past the first call's deadline and grace period
				a.Script(nil)
				b.Script(nil)
				got.Repeat = call("repeat")
				got.Runs = a.Runs("k") + b.Runs("k")
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestGracePeriod: a claimed call continues for claim.Grace after its caller received its final
// failure, and no longer. It runs once in every case.
func TestGracePeriod(t *testing.T) {
	const deadline = 10 * time.Second // as set by callWork
	stored, lost := errorKind{}, errorKind{failure.ClaimUnknown, failure.Unknown}
	for _, tt := range []struct {
		name            string
		disconnectAfter time.Duration // zero: the caller stays connected
		responseDelay   time.Duration
		repeat          errorKind
	}{
		{"answer within the grace", 0, deadline + claim.Grace - time.Second, stored},
		{"answer after the grace", 0, deadline + claim.Grace + time.Second, lost},
		{"caller left, answer within the grace", 2 * time.Second, 2*time.Second + claim.Grace - time.Second, stored},
		{"caller left, answer after the grace", 2 * time.Second, 2*time.Second + claim.Grace + time.Second, lost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _, router := twoServices()
				a.Script(behave(fakeservice.Behaviour{ResponseDelay: tt.responseDelay}))
				claims := claim.NewStore(claim.Config{Table: memtable.New()})
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				if tt.disconnectAfter > 0 {
					time.AfterFunc(tt.disconnectAfter, disconnect)
				}
				if _, err := f.Call(ctx, callWork("first", "k", false)); errorKindOf(t, err).Ran != failure.Unknown {
					t.Errorf("first call: %v, want outcome unknown", err)
				}
				time.Sleep(time.Minute)
				_, err := f.Call(t.Context(), callWork("repeat", "k", false))
				if diff := cmp.Diff(tt.repeat, errorKindOf(t, err)); diff != "" {
					t.Errorf("repeat (-want +got):\n%s", diff)
				}
				if got := a.Runs("k"); got != 1 {
					t.Errorf("ran %d times, want once", got)
				}
			})
		})
	}
}

// mismatching labels every response with the ID of another attempt.
type mismatching struct{ service.Endpoint }

func (c mismatching) Do(ctx context.Context, call service.Call) (*service.Response, error) {
	resp, err := c.Endpoint.Do(ctx, call)
	if err == nil {
		resp.Attempt = "another-request.1"
	}
	return resp, err
}

// TestMismatchedServiceResponse: the forwarder rejects a response of another attempt even if the
// endpoint's client accepted it.
func TestMismatchedServiceResponse(t *testing.T) {
	a, b, router := twoServices()
	router.Targets[0].Service = mismatching{a}
	claims := claim.NewStore(claim.Config{Table: memtable.New()})
	f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
	resp, err := f.Call(t.Context(), callWork("r1", "k", false))
	if diff := cmp.Diff(errorKind{failure.AnswerMismatch, failure.Unknown}, errorKindOf(t, err)); diff != "" {
		t.Errorf("response %v (-want +got):\n%s", resp, diff)
	}
	if n := a.Runs("k") + b.Runs("k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

// claimingPeer is the entry of another zone, which makes the claim itself.
type claimingPeer struct {
	forward.Peer
	claims *claim.Store
	runs   int
}

func (p *claimingPeer) Do(ctx context.Context, w *forward.Work, call service.Call) (*service.Response, error) {
	key := claim.Key{Organisation: w.Organisation, Service: w.Service, IdempotencyKey: w.IdempotencyKey}
	claimed, _, err := p.claims.Begin(ctx, key, claim.DigestOf(call.Method, call.Path, call.Body))
	if err != nil {
		return nil, err
	}
	p.runs++
	claimed.Finish(ctx, claim.Response{Status: http.StatusOK, Body: []byte("ok")})
	return &service.Response{Attempt: call.Attempt, Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// TestClaimIsReleasedForOtherZone: a claimed call that the local zone's endpoint refused as not run
// is forwarded to another zone, whose entry claims it again.
func TestClaimIsReleasedForOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, router := twoServices()
		a.Script(behave(fakeservice.Behaviour{Refuse: true}))
		rows := memtable.New()
		peer := &claimingPeer{claims: claim.NewStore(claim.Config{Table: rows, Owner: "there"})}
		router.Targets[1] = forward.Target{Name: "entry-of-b", Pool: "s", Peer: peer}
		claims := claim.NewStore(claim.Config{Table: rows, Owner: "here"})
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
		resp, err := f.Call(t.Context(), callWork("r1", "k", false))
		if diff := cmp.Diff(errorKind{}, errorKindOf(t, err)); diff != "" || peer.runs != 1 {
			t.Errorf("ran %d times in the other zone, response %v (-want +got):\n%s", peer.runs, resp, diff)
		}
	})
}
