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
	testKey      = Key{Organisation: "kliko", Service: "slots", IdempotencyKey: "k/1"}
	testDigest   = DigestOf("POST", "/confirm", []byte("slot 7"))
	testResponse = Response{Status: 201, Body: []byte("confirmed")}
)

// begin claims the test key with a deadline of ten seconds.
func begin(t *testing.T, s *Store, d Digest) (*Claim, *Response, *failure.Request) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, resp, err := s.Begin(ctx, testKey, d)
	if err == nil {
		return c, resp, nil
	}
	var f *failure.Request
	if !errors.As(err, &f) {
		t.Fatalf("Begin returned %T, want *failure.Request", err)
	}
	return c, resp, f
}

// outcome is the comparable form of the results of Begin.
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

func TestRepeatedCall(t *testing.T) {
	large := Response{Status: 200, Body: []byte(strings.Repeat("x", DefaultMaxInline+1))}
	other := DigestOf("POST", "/confirm", []byte("slot 8"))
	tests := []struct {
		name string
		// first is what the VM that holds the claim does.
		first  func(t *testing.T, s *Store, c *Claim)
		digest Digest
		want   outcome
	}{
		{"finished", func(t *testing.T, _ *Store, c *Claim) { c.Finish(t.Context(), testResponse) }, testDigest,
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
		{"another request", func(t *testing.T, _ *Store, c *Claim) { c.Finish(t.Context(), testResponse) }, other,
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

func TestTableUnavailableIsNotRun(t *testing.T) {
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
			t.Errorf("refused after %v, want immediately", d)
		}
	})
}

// commitFaults returns a hook that applies faults[i] to the i-th commit.
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

func TestLostResponseIsResolvedByWriteID(t *testing.T) {
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

// TestAbandonedClaimIsReleased: the claim's write takes effect, its response is lost and the table
// stays unavailable past the deadline. The caller gets the outcome not run, which is correct since
// nothing is dispatched, and the key must become claimable again.
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

func TestResponseIsStoredAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		c, _, _ := begin(t, s, testDigest)
		rows.SetDown(true)
		start := time.Now()
		c.Finish(t.Context(), testResponse)
		if d := time.Since(start); d > DefaultFinishTimeout {
			t.Errorf("Finish waited %v for the table", d)
		}
		time.Sleep(time.Minute)
		rows.SetDown(false)
		s.Wait()
		if got := outcomeOf(begin(t, s, testDigest)); got.Body != "confirmed" {
			t.Errorf("repeat got %+v, want the response", got)
		}
	})
}

// TestPausedVM: a VM is paused while its claim is in flight, and another VM claims and finishes the
// call. Whenever the paused VM's write arrives, it must not get the claim.
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
		c.Finish(t.Context(), testResponse)
		if diff := cmp.Diff(outcome{Body: "confirmed"}, <-result); diff != "" {
			t.Errorf("paused VM (-want +got):\n%s", diff)
		}
	})
}

func TestCorruptRowIsNotClaimed(t *testing.T) {
	rows := memtable.New()
	bad := table.Txn{Writes: []table.Write{{Key: testKey.row(), Value: []byte("{")}}}
	if _, err := rows.Commit(t.Context(), bad); err != nil {
		t.Fatal(err)
	}
	if c, _, f := begin(t, NewStore(Config{Table: rows}), testDigest); c != nil || f == nil {
		t.Error("a corrupt row was claimed")
	}
}

func TestSweepDeletesOnlyExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		s := NewStore(Config{Table: rows})
		unknown, _, _ := s.Begin(t.Context(), Key{IdempotencyKey: "perhaps"}, testDigest)
		const expired = 300
		for i := range expired {
			c, _, err := s.Begin(t.Context(), Key{IdempotencyKey: fmt.Sprint("old-", i)}, testDigest)
			if err != nil || unknown == nil {
				t.Fatal(err)
			}
			c.Finish(t.Context(), testResponse)
		}
		time.Sleep(DefaultRetention + time.Second)
		recent, _, _ := s.Begin(t.Context(), Key{IdempotencyKey: "young"}, testDigest)
		recent.Finish(t.Context(), testResponse)
		before := rows.Counts()
		deleted, err := NewCleaner(s).Sweep(t.Context())
		if err != nil || deleted != expired {
			t.Errorf("deleted %d rows (%v), want %d", deleted, err, expired)
		}
		after := rows.Counts()
		if n := after.Scans + after.Commits - before.Scans - before.Commits; n != 4 {
			t.Errorf("the sweep made %d calls, want a scan and three transactions", n)
		}
		time.Sleep(DefaultUnknownRetention)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		NewCleaner(s).Run(ctx, time.Second, func() bool { return true })
		if remaining, err := rows.Scan(t.Context(), Table, "", "", 0); err != nil || len(remaining) != 0 {
			t.Errorf("%d rows (%v) remain, want none", len(remaining), err)
		}
	})
}
