package directory

import (
	"testing"

	"github.com/springweir/springweir/table"
)

func row(id string, startedAt int64, version int, draining bool) Registration {
	return Registration{ID: id, StartedAt: startedAt, Version: table.Version(version), Service: "llm", Draining: draining}
}

// A drain that an endpoint announced holds against rows that show it as ready and against a store
// outage in which its row is missing. It ends with the incarnation.
func TestAnnouncedDrainHoldsForAnIncarnation(t *testing.T) {
	d := New(nil)
	d.Put(row("e1", 1, 1, false), row("e2", 1, 2, false))
	first := &Endpoint{Registration: row("e1", 1, 1, false)}
	usable := func() int { return len(d.Snapshot().Service("llm")) }
	if !d.Drain(first) || usable() != 1 {
		t.Fatalf("%d usable", usable())
	}
	if d.Drain(first) {
		t.Error("the same drain was reported as a change again")
	}
	d.Put(row("e1", 1, 3, false))
	if usable() != 1 {
		t.Error("a later row that shows it as ready made it usable")
	}
	d.Remove("e1")
	d.Put(row("e1", 1, 4, false))
	if usable() != 1 {
		t.Error("a row that came back made it usable")
	}
	d.Put(row("e1", 2, 5, false))
	if usable() != 2 {
		t.Error("the next incarnation is not usable")
	}
	if d.Drain(&Endpoint{Registration: row("unknown", 1, 9, false)}) || d.Drain(first) {
		t.Error("a drain of an unregistered incarnation was reported as a change")
	}
}
