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

// callWork is a confirmation with the idempotency key, if any.
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

func scripted(b fakeservice.Behaviour) func(service.Call) fakeservice.Behaviour {
	return func(service.Call) fakeservice.Behaviour { return b }
}

func ran(e *fakeservice.Endpoint) int {
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
		Verdict    verdict
		Body       string
		RanA, RanB int
		// CallsA and CallsB count what reached the endpoints.
		CallsA, CallsB int
	}
	refused := verdict{failure.EndpointRefused, failure.NotRun}
	broke := verdict{failure.EndpointBroke, failure.Unknown}
	tests := []struct {
		name       string
		key        string
		repeatable bool
		a          behaviour
		want       result
	}{
		{"whole", "", false, behaviour{}, result{Body: "ok", RanA: 1, CallsA: 1}},
		{"repeatable, crash after run", "", true, behaviour{BreakAfter: true}, result{Body: "ok", RanA: 1, RanB: 1, CallsA: 1, CallsB: 1}},
		{"repeatable, refused", "", true, behaviour{Refuse: true}, result{Body: "ok", RanB: 1, CallsA: 1, CallsB: 1}},
		{"key, crash after run", "k", false, behaviour{BreakAfter: true}, result{Verdict: broke, RanA: 1, CallsA: 1}},
		{"key, crash before run", "k", false, behaviour{BreakBefore: true}, result{Verdict: broke, CallsA: 1}},
		{"key, refused", "k", false, behaviour{Refuse: true}, result{Body: "ok", RanB: 1, CallsA: 1, CallsB: 1}},
		{"key, unreachable", "k", false, behaviour{Unreachable: true}, result{Body: "ok", RanB: 1, CallsB: 1}},
		{"key, crossed answer", "k", false, behaviour{AnswerAs: "r0.1"},
			result{Verdict: verdict{failure.AnswerMismatch, failure.Unknown}, RanA: 1, CallsA: 1}},
		{"no key, refused", "", false, behaviour{Refuse: true}, result{Verdict: refused, CallsA: 1}},
		{"no key, unreachable", "", false, behaviour{Unreachable: true},
			result{Verdict: verdict{failure.EndpointUnreachable, failure.NotRun}}},
		{"no key, crash after run", "", false, behaviour{BreakAfter: true}, result{Verdict: broke, RanA: 1, CallsA: 1}},
		{"no key, answer too late", "", false, behaviour{AnswerDelay: time.Minute},
			result{Verdict: verdict{failure.DeadlinePassed, failure.Unknown}, RanA: 1, CallsA: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoServices()
				a.Script(scripted(tt.a))
				claims := claim.NewStore(claim.Config{Table: memtable.New()})
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
				reply, err := f.Call(t.Context(), callWork("r1", tt.key, tt.repeatable))
				got := result{Verdict: verdictOf(t, err), RanA: ran(a), RanB: ran(b), CallsA: len(a.Records()), CallsB: len(b.Records())}
				if reply != nil {
					got.Body = string(reply.Body)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				time.Sleep(time.Hour) // the late answer has come to nobody
			})
		})
	}
}

// TestLateConfirmationIsKept: the caller is answered at its deadline; the
// endpoint's answer comes after it and is kept for the repeat.
func TestLateConfirmationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, router := twoServices()
		a.Script(scripted(fakeservice.Behaviour{AnswerDelay: 25 * time.Second}))
		claims := claim.NewStore(claim.Config{Table: memtable.New()})
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
		start := time.Now()
		want := []verdict{{failure.DeadlinePassed, failure.Unknown}, {failure.ClaimInProgress, failure.Unknown}, {}}
		for i, w := range want {
			reply, err := f.Call(t.Context(), callWork("r", "k", false))
			if diff := cmp.Diff(w, verdictOf(t, err)); diff != "" {
				t.Errorf("try %d (-want +got):\n%s", i, diff)
			}
			if reply != nil && (!reply.Replayed || string(reply.Body) != "ok") {
				t.Errorf("try %d: reply %+v, want the stored answer", i, reply)
			}
			if d := time.Since(start); i == 0 && d != 10*time.Second {
				t.Errorf("answered after %v, want at the deadline", d)
			}
			time.Sleep(10 * time.Second)
		}
		if got := a.Runs("k"); got != 1 {
			t.Errorf("ran %d times", got)
		}
	})
}

// TestRepeatAfterAFailure: a caller repeats a call with a key through another
// VM, after both endpoints failed it in one way and are well again. One that
// provably did not run may run now; one that may have run never does.
func TestRepeatAfterAFailure(t *testing.T) {
	type behaviour = fakeservice.Behaviour
	type result struct {
		First, Repeat verdict
		Runs          int
	}
	notRun := func(r failure.Reason) verdict { return verdict{r, failure.NotRun} }
	unknown := func(r failure.Reason) verdict { return verdict{r, failure.Unknown} }
	inDoubt := unknown(failure.ClaimUnknown)
	for _, tt := range []struct {
		name  string
		crash behaviour
		want  result
	}{
		{"nothing was sent", behaviour{Unreachable: true}, result{notRun(failure.EndpointUnreachable), verdict{}, 1}},
		{"refused before the start", behaviour{Refuse: true}, result{notRun(failure.EndpointRefused), verdict{}, 1}},
		{"crash before the run", behaviour{BreakBefore: true}, result{unknown(failure.EndpointBroke), inDoubt, 0}},
		{"crash after the run", behaviour{BreakAfter: true}, result{unknown(failure.EndpointBroke), inDoubt, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoServices()
				rows := memtable.New()
				call := func(id string) verdict {
					claims := claim.NewStore(claim.Config{Table: rows, Owner: id})
					f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
					_, err := f.Call(t.Context(), callWork(id, "k", false))
					return verdictOf(t, err)
				}
				a.Script(scripted(tt.crash))
				b.Script(scripted(tt.crash))
				var got result
				got.First = call("first")
				time.Sleep(time.Minute) // the first call's deadline and grace have passed
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

// TestGrace: a claimed call goes on for claim.Grace after its caller was given
// its final answer, and no longer. Whatever comes of it, it runs once.
func TestGrace(t *testing.T) {
	const deadline = 10 * time.Second // as callWork sets it
	kept, lost := verdict{}, verdict{failure.ClaimUnknown, failure.Unknown}
	for _, tt := range []struct {
		name    string
		leaves  time.Duration // when the caller leaves; zero is never
		answers time.Duration
		repeat  verdict
	}{
		{"answer within the grace", 0, deadline + claim.Grace - time.Second, kept},
		{"answer after the grace", 0, deadline + claim.Grace + time.Second, lost},
		{"caller left, answer within the grace", 2 * time.Second, 2*time.Second + claim.Grace - time.Second, kept},
		{"caller left, answer after the grace", 2 * time.Second, 2*time.Second + claim.Grace + time.Second, lost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _, router := twoServices()
				a.Script(scripted(fakeservice.Behaviour{AnswerDelay: tt.answers}))
				claims := claim.NewStore(claim.Config{Table: memtable.New()})
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if tt.leaves > 0 {
					time.AfterFunc(tt.leaves, leave)
				}
				if _, err := f.Call(ctx, callWork("first", "k", false)); verdictOf(t, err).Ran != failure.Unknown {
					t.Errorf("the caller was told %v", err)
				}
				time.Sleep(time.Minute)
				_, err := f.Call(t.Context(), callWork("repeat", "k", false))
				if diff := cmp.Diff(tt.repeat, verdictOf(t, err)); diff != "" {
					t.Errorf("repeat (-want +got):\n%s", diff)
				}
				if got := a.Runs("k"); got != 1 {
					t.Errorf("ran %d times", got)
				}
			})
		})
	}
}

// crossed answers every call as another attempt, and does not say so.
type crossed struct{ service.Endpoint }

func (c crossed) Do(ctx context.Context, call service.Call) (*service.Answer, error) {
	answer, err := c.Endpoint.Do(ctx, call)
	if err == nil {
		answer.Attempt = "another-request.1"
	}
	return answer, err
}

// TestCrossedServiceAnswer: an answer that its endpoint's client lets through
// still has to be that of the attempt.
func TestCrossedServiceAnswer(t *testing.T) {
	a, b, router := twoServices()
	router.Targets[0].Service = crossed{a}
	claims := claim.NewStore(claim.Config{Table: memtable.New()})
	f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
	reply, err := f.Call(t.Context(), callWork("r1", "k", false))
	if diff := cmp.Diff(verdict{failure.AnswerMismatch, failure.Unknown}, verdictOf(t, err)); diff != "" {
		t.Errorf("reply %v (-want +got):\n%s", reply, diff)
	}
	if n := a.Runs("k") + b.Runs("k"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// claimingPeer is an entry of another zone, which makes the claim itself.
type claimingPeer struct {
	forward.Peer
	claims *claim.Store
	runs   int
}

func (p *claimingPeer) Do(ctx context.Context, w *forward.Work, call service.Call) (*service.Answer, error) {
	key := claim.Key{Organisation: w.Organisation, Service: w.Service, IdempotencyKey: w.IdempotencyKey}
	held, _, err := p.claims.Begin(ctx, key, claim.DigestOf(call.Method, call.Path, call.Body))
	if err != nil {
		return nil, err
	}
	p.runs++
	held.Finish(ctx, claim.Response{Status: http.StatusOK, Body: []byte("ok")})
	return &service.Answer{Attempt: call.Attempt, Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// TestClaimIsGivenToTheOtherZone: a claimed call that its own zone's endpoint
// refused as not run goes on to another zone, whose entry claims it anew.
func TestClaimIsGivenToTheOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, router := twoServices()
		a.Script(scripted(fakeservice.Behaviour{Refuse: true}))
		rows := memtable.New()
		peer := &claimingPeer{claims: claim.NewStore(claim.Config{Table: rows, Owner: "there"})}
		router.Targets[1] = forward.Target{Name: "entry-of-b", Pool: "s", Peer: peer}
		claims := claim.NewStore(claim.Config{Table: rows, Owner: "here"})
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, Claims: claims})
		reply, err := f.Call(t.Context(), callWork("r1", "k", false))
		if diff := cmp.Diff(verdict{}, verdictOf(t, err)); diff != "" || peer.runs != 1 {
			t.Errorf("ran %d times there, reply %v (-want +got):\n%s", peer.runs, reply, diff)
		}
	})
}
