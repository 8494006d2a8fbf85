package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

var (
	testKey    = Key{Organisation: "kliko", Service: "slots", IdempotencyKey: "k/1"}
	testDigest = DigestOf("POST", "/confirm", []byte("slot 7"))
	testAnswer = Response{Status: 201, Body: []byte("confirmed")}
)

// begin claims the test key with a deadline of ten seconds.
func begin(t *testing.T, s *Store, d Digest) (*Claim, *Response, *failure.Request) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, answer, err := s.Begin(ctx, testKey, d)
	if err == nil {
		return c, answer, nil
	}
	var f *failure.Request
	if !errors.As(err, &f) {
		t.Fatalf("Begin gave %T, want *failure.Request", err)
	}
	return c, answer, f
}

// outcome is what a Begin gave, for comparison.
type outcome struct {
	Claimed bool
	Body    string
	Reason  failure.Reason
	Ran     failure.Outcome
	Retry   bool
}

func outcomeOf(c *Claim, a *Response, f *failure.Request) outcome {
	o := outcome{Claimed: c != nil}
	if a != nil {
		o.Body = string(a.Body)
	}
	if f != nil {
		o.Reason, o.Ran, o.Retry = f.Code, f.Ran, f.RetryAfter > 0
	}
	return o
}

func TestRepeatOfACall(t *testing.T) {
	large := Response{Status: 200, Body: []byte(strings.Repeat("x", DefaultMaxInline+1))}
	other := DigestOf("POST", "/confirm", []byte("slot 8"))
	tests := []struct {
		name string
		// first is what the VM with the claim does.
		first  func(t *testing.T, s *Store, c *Claim)
		digest Digest
		want   outcome
	}{
		{"finished", func(t *testing.T, _ *Store, c *Claim) { c.Finish(t.Context(), testAnswer) }, testDigest,
			outcome{Body: "confirmed"}},
		{"finished with a large answer", func(t *testing.T, _ *Store, c *Claim) { c.Finish(t.Context(), large) }, testDigest,
			outcome{Body: string(large.Body)}},
		{"finished, answer not kept", func(t *testing.T, _ *Store, c *Claim) { c.FinishWithoutResponse(t.Context()) }, testDigest,
			outcome{Reason: failure.ClaimUnknown, Ran: failure.Done}},
		{"released", func(t *testing.T, _ *Store, c *Claim) { c.Release(t.Context()) }, testDigest,
			outcome{Claimed: true}},
		{"still running", func(*testing.T, *Store, *Claim) {}, testDigest,
			outcome{Reason: failure.ClaimInProgress, Ran: failure.Unknown, Retry: true}},
		{"VM died", func(*testing.T, *Store, *Claim) { time.Sleep(time.Minute) }, testDigest,
			outcome{Reason: failure.ClaimUnknown, Ran: failure.Unknown}},
		{"another request", func(t *testing.T, _ *Store, c *Claim) { c.Finish(t.Context(), testAnswer) }, other,
			outcome{Reason: failure.KeyReused, Ran: failure.NotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows, objects := memtable.New(), memobject.New()
				a := NewStore(Config{Table: rows, Objects: objects, Owner: "a"})
				b := NewStore(Config{Table: rows, Objects: objects, Owner: "b"})
				c, _, f := begin(t, a, testDigest)
				if f != nil {
					t.Fatal(f)
				}
				tt.first(t, a, c)
				got := outcomeOf(begin(t, b, tt.digest))
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("repeat on another VM (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestTableDownRefusesAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		rows.SetDown(true)
		start := time.Now()
		got := outcomeOf(begin(t, NewStore(Config{Table: rows}), testDigest))
		want := outcome{Reason: failure.ClaimUnavailable, Ran: failure.NotRun, Retry: true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("refused after %v, want at once", d)
		}
	})
}

// commitFaults returns a hook that gives the nth commit, from 0, its fault.
func commitFaults(faults ...memtable.Fault) func(memtable.Call) memtable.Fault {
	var commits atomic.Int64
	return func(c memtable.Call) memtable.Fault {
		if c.Op != memtable.OpCommit {
			return memtable.Fault{}
		}
		n := int(commits.Add(1))
		if n > len(faults) {
			return memtable.Fault{}
		}
		return faults[n-1]
	}
}

func TestLostAnswerIsSettledByItsOwnId(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		rows.SetHook(commitFaults(memtable.Fault{LoseResponse: true}))
		if c, _, f := begin(t, s, testDigest); c == nil {
			t.Fatalf("the claim's own write was not recognised: %v", f)
		}
		if got := rows.Counts().RowsWritten; got != 1 {
			t.Errorf("wrote %d rows, want 1", got)
		}
	})
}

// TestAbandonedClaimIsReleased: the claim's write takes effect, its answer is
// lost and the table stays down past the deadline. The caller is told not run,
// which holds, and the key must not stay "perhaps run" for ever.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		first := true
		rows.SetHook(func(c memtable.Call) memtable.Fault {
			if first && c.Op == memtable.OpCommit {
				first = false
				time.AfterFunc(time.Millisecond, func() { rows.SetDown(true) })
				return memtable.Fault{LoseResponse: true}
			}
			return memtable.Fault{}
		})
		_, _, f := begin(t, s, testDigest)
		if f == nil || f.Code != failure.ClaimUnavailable || f.Ran != failure.NotRun {
			t.Fatalf("got %v, want claim-unavailable, not run", f)
		}
		rows.SetDown(false)
		s.Wait()
		if c, _, f := begin(t, NewStore(Config{Table: rows}), testDigest); c == nil {
			t.Errorf("the key cannot be claimed again: %v", f)
		}
	})
}

func TestAnswerIsKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		c, _, _ := begin(t, s, testDigest)
		rows.SetDown(true)
		start := time.Now()
		c.Finish(t.Context(), testAnswer)
		if d := time.Since(start); d > DefaultFinishTimeout {
			t.Errorf("the caller's answer waited %v for the table", d)
		}
		time.Sleep(time.Minute)
		rows.SetDown(false)
		s.Wait()
		if got := outcomeOf(begin(t, s, testDigest)); got.Body != "confirmed" {
			t.Errorf("repeat got %+v, want the answer", got)
		}
	})
}

// TestPausedVM: a VM is paused while its claim is on the way. Another VM claims
// and finishes meanwhile. Whenever the write arrives, the paused VM must not
// get the claim.
func TestPausedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		rows.SetHook(commitFaults(memtable.Fault{Delay: 5 * time.Second}))
		paused := NewStore(Config{Table: rows})
		other := NewStore(Config{Table: rows})
		result := make(chan outcome)
		go func() { result <- outcomeOf(begin(t, paused, testDigest)) }()
		time.Sleep(time.Second)
		c, _, f := begin(t, other, testDigest)
		if c == nil {
			t.Fatal(f)
		}
		c.Finish(t.Context(), testAnswer)
		if diff := cmp.Diff(outcome{Body: "confirmed"}, <-result); diff != "" {
			t.Errorf("the woken VM (-want +got):\n%s", diff)
		}
	})
}

func TestCorruptRowIsNotRun(t *testing.T) {
	rows := memtable.New()
	bad := table.Txn{Writes: []table.Write{{Key: testKey.row(), Value: []byte("{")}}}
	if _, err := rows.Commit(t.Context(), bad); err != nil {
		t.Fatal(err)
	}
	if c, _, f := begin(t, NewStore(Config{Table: rows}), testDigest); c != nil || f == nil {
		t.Error("a row that cannot be read was claimed")
	}
}

func TestSweepDeletesOnlyWhatExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		perhaps, _, _ := s.Begin(t.Context(), Key{IdempotencyKey: "perhaps"}, testDigest)
		const old = 300
		for i := range old {
			c, _, err := s.Begin(t.Context(), Key{IdempotencyKey: fmt.Sprint("old-", i)}, testDigest)
			if err != nil || perhaps == nil {
				t.Fatal(err)
			}
			c.Finish(t.Context(), testAnswer)
		}
		time.Sleep(DefaultRetention + time.Second)
		young, _, _ := s.Begin(t.Context(), Key{IdempotencyKey: "young"}, testDigest)
		young.Finish(t.Context(), testAnswer)
		before := rows.Counts()
		deleted, err := NewCleaner(s).Sweep(t.Context())
		if err != nil || deleted != old {
			t.Errorf("deleted %d rows (%v), want %d", deleted, err, old)
		}
		after := rows.Counts()
		if n := after.Scans + after.Commits - before.Scans - before.Commits; n != 4 {
			t.Errorf("the sweep made %d calls, want a scan and three transactions", n)
		}
		time.Sleep(DefaultUnknownRetention)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		NewCleaner(s).Run(ctx, time.Second, func() bool { return true })
		if left, err := rows.Scan(t.Context(), Table, "", "", 0); err != nil || len(left) != 0 {
			t.Errorf("%d rows (%v) left in the end, want none", len(left), err)
		}
	})
}
