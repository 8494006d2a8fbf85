package rollout_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/peer/fakepeer"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// fixture is one syncer over an in-memory table.
type fixture struct {
	rows   *memtable.Table
	store  *rollout.Store
	member *contact.Member
	syncer *rollout.Syncer
}

func newFixture(peers rollout.Peers) *fixture {
	r := &fixture{rows: memtable.New(), member: contact.NewMember("z", "a", func(contact.Roster) {})}
	r.store = rollout.NewStore(r.rows, memobject.New())
	applier := rollout.NewApplier(func(rollout.Document) error { return nil })
	r.syncer = rollout.NewSyncer(r.member, applier, r.store, r.rows, peers, "a", func() string { return "id" })
	return r
}

func abc() contact.Roster {
	r := contact.Roster{}
	for _, name := range []string{"a", "b", "c"} {
		r = r.Join("z", name, name)
	}
	return r
}

func TestSyncPeer(t *testing.T) {
	excluded := abc()
	excluded.Revision++
	excluded.VMs[1].ExcludedAt = excluded.Revision
	update := rollout.NewUpdate(rollout.Document{}, rollout.NewDocument(5, []byte("text")))
	held := contact.Ack{Config: 5, Roster: abc().Revision}
	tests := []struct {
		name string
		// known is the roster of a VM that had contact before; empty for a new process.
		known contact.Roster
		peer  fakepeer.StaticPeer
		want  contact.Status
	}{
		{"new, confirmed by a peer that serves", contact.Roster{}, fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true, Serving: true, Roster: abc()}, Update: &update}, contact.Active},
		{"new, confirmed by a peer that does not serve", contact.Roster{}, fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true, Roster: abc()}, Update: &update}, contact.NotJoined},
		{"new, not on the roster", contact.Roster{}, fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Serving: true, Roster: abc().Leave("a")}, Update: &update}, contact.NotJoined},
		{"new, configuration not fetched", contact.Roster{}, fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true, Serving: true, Roster: abc()}, Update: nil}, contact.NoContact},
		{"known, confirmed by a peer without permission", abc(), fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true}, Update: &update}, contact.Active},
		{"known, not confirmed", abc(), fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Serving: true}, Update: &update}, contact.NoContact},
		{"known, confirmed by an excluded peer", excluded, fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true, Serving: true}, Update: &update}, contact.NoContact},
		{"known, configuration not fetched", abc(), fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Ack: held, Confirmed: true, Serving: true}, Update: nil}, contact.NoContact},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(tt.peer)
				if tt.known.Revision != 0 {
					r.member.RecordJoin(tt.known, time.Now())
					time.Sleep(contact.Timeout)
				}
				err := r.syncer.SyncPeer(t.Context(), contact.VM{Name: "b", Address: "b"})
				if got := r.member.Status(); got != tt.want || (err == nil) != (tt.want == contact.Active) {
					t.Errorf("status %s, error %v; want %s", got, err, tt.want)
				}
			})
		})
	}
}

// The permission counts from when a contact was requested, not from its response.
func TestContactCountsFromRequestStart(t *testing.T) {
	const slow = contact.Timeout - time.Second
	sync := map[string]func(t *testing.T, r *fixture) error{
		"table": func(t *testing.T, r *fixture) error {
			r.rows.SetFault(memtable.Fault{Delay: slow})
			return r.syncer.SyncTable(t.Context())
		},
		"peer": func(t *testing.T, r *fixture) error {
			return r.syncer.SyncPeer(t.Context(), contact.VM{Name: "b"})
		},
	}
	for name, contactWith := range sync {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(fakepeer.StaticPeer{Response: rollout.ExchangeResponse{Confirmed: true}, Delay: slow})
			txn := table.Txn{Writes: []table.Write{{Key: contact.Key("z"), Value: abc().Encode()}}}
			if _, err := r.rows.Commit(t.Context(), txn); err != nil {
				t.Fatal(err)
			}
			r.member.RecordJoin(abc(), time.Now())
			time.Sleep(contact.Timeout)
			if err := contactWith(t, r); err != nil || r.member.Allow() != nil {
				t.Errorf("%s: no contact: %v", name, err)
			}
			time.Sleep(contact.Timeout - slow)
			if r.member.Allow() == nil {
				t.Errorf("%s: still serves %v after the request", name, contact.Timeout)
			}
		})
	}
}

// A change committed between a VM's read and its join makes the join conflict, so that no VM
// joins a roster with an old version.
func TestJoinRacesWithEdit(t *testing.T) {
	r := newFixture(fakepeer.StaticPeer{})
	r.rows.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit {
			r.rows.SetHook(nil)
			edit := rollout.Edit{WriteID: "edit", Text: []byte("text")}
			if _, err := r.store.Put(t.Context(), edit); err != nil {
				t.Error(err)
			}
		}
		return memtable.Fault{}
	})
	if err := r.syncer.SyncTable(t.Context()); err == nil || r.member.Allow() == nil {
		t.Errorf("joined on an old version: %v", err)
	}
	if err := r.syncer.SyncTable(t.Context()); err != nil || r.member.Allow() != nil {
		t.Errorf("did not join: %v", err)
	}
}

// Contact with the table counts only once the newest version is in effect.
func TestTableContactNeedsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(fakepeer.StaticPeer{})
		if err := r.syncer.SyncTable(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := r.store.Put(t.Context(), rollout.Edit{WriteID: "edit", Text: []byte("text")}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(contact.Timeout)
		r.rows.SetHook(func(c memtable.Call) memtable.Fault {
			return memtable.Fault{Fail: len(c.Keys) == 1 && strings.HasPrefix(c.Keys[0].Row, "v/")}
		})
		if err := r.syncer.SyncTable(t.Context()); err == nil || r.member.Allow() == nil {
			t.Errorf("serves without the newest version: %v", err)
		}
		r.rows.SetHook(nil)
		if err := r.syncer.SyncTable(t.Context()); err != nil || r.member.Allow() != nil {
			t.Errorf("does not serve: %v", err)
		}
	})
}

// A write whose response is lost, or that takes effect late, is resolved.
func TestPutResolvesUnknownOutcome(t *testing.T) {
	for _, fault := range []memtable.Fault{{LoseResponse: true}, {ApplyAfter: 300 * time.Millisecond}, {ApplyAfter: time.Minute}} {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(fakepeer.StaticPeer{})
			first := true
			r.rows.SetHook(func(c memtable.Call) memtable.Fault {
				if c.Op != memtable.OpCommit || !first {
					return memtable.Fault{}
				}
				first = false
				return fault
			})
			long := []byte(strings.Repeat("x", 1<<20) + time.Now().String())
			v, err := r.store.Put(t.Context(), rollout.Edit{WriteID: "w", Text: long})
			if err != nil || v != 1 {
				t.Fatalf("Put: %d, %v", v, err)
			}
			time.Sleep(2 * time.Minute)
			doc, err := r.store.Load(t.Context(), v)
			if err != nil || string(doc.Text) != string(long) {
				t.Errorf("Load: %v", err)
			}
			if entries, err := r.store.History(t.Context(), rollout.None, 10); err != nil || len(entries) != 1 {
				t.Errorf("History: %d entries, %v", len(entries), err)
			}
		})
	}
}

func TestUpdate(t *testing.T) {
	text := func(s string) rollout.Document { return rollout.NewDocument(2, []byte(s)) }
	base := rollout.NewDocument(1, []byte("one two three"))
	for _, s := range []string{"one two three", "one 2 three", "", "one", "three", "one two two three", "o", "one two threethree"} {
		got, err := rollout.NewUpdate(base, text(s)).Document(base)
		if err != nil || string(got.Text) != s {
			t.Errorf("patch to %q: %q, %v", s, got.Text, err)
		}
	}
	u := rollout.NewUpdate(base, text("one 2 three"))
	if _, err := u.Document(rollout.Document{}); err == nil {
		t.Error("patch without its base was accepted")
	}
	if _, err := u.Document(rollout.NewDocument(1, []byte("other text here"))); err == nil {
		t.Error("patch on another text was accepted")
	}
	u.Prefix = 1 << 40
	if _, err := u.Document(base); err == nil {
		t.Error("patch beyond its base was accepted")
	}
}
