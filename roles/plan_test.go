package roles

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
)

const testNow = 1000 * time.Second

// testDemand is a demand that suits four mixed engines badly: the prefill of long prompts slows
// down short responses on the same engines.
var testDemand = []Class{
	{Rate: 3, Prompt: 5600, Output: 200, Deadline: 20 * time.Second},
	{Rate: 7, Prompt: 120, Output: 100, Deadline: 5 * time.Second},
}

func snapshotOf(roles ...engine.Role) Snapshot {
	snap := Snapshot{Demand: Demand{Classes: testDemand, Window: time.Minute, Contributors: 3, Registered: 3}}
	for i, r := range roles {
		snap.Engines = append(snap.Engines, Engine{Name: string(rune('a' + i)), Role: r})
	}
	return snap
}

func fourMixed() Snapshot {
	return snapshotOf(engine.Mixed, engine.Mixed, engine.Mixed, engine.Mixed)
}

// permissiveHistory returns a history that permits changes.
func permissiveHistory(set Settings) History {
	return History{
		Tokens: float64(set.BudgetBurst), RefilledAt: testNow,
		HasTarget: true, Target: RoleCounts{Prefill: 1, Mixed: 3}, TargetSince: testNow - time.Minute,
	}
}

func TestPlanReasons(t *testing.T) {
	set := Defaults(FavourGoodput)
	tests := []struct {
		name    string
		snap    func(*Snapshot)
		history func(*History)
		set     func(*Settings)
		want    Reason
		changes int
	}{
		{name: "gain", want: Gain, changes: 1},
		{name: "platform lost", snap: func(s *Snapshot) { s.PlatformLost = true }, want: PlatformLost},
		{name: "entry VM missing from the demand", snap: func(s *Snapshot) { s.Demand.Contributors = 2 }, want: StaleDemand},
		{name: "old demand", snap: func(s *Snapshot) { s.Demand.Age = time.Minute }, want: StaleDemand},
		{name: "short window", snap: func(s *Snapshot) { s.Demand.Window = time.Second }, want: WarmingUp},
		{name: "old reports", snap: func(s *Snapshot) {
			s.Engines[0].ReportAge, s.Engines[1].ReportAge = time.Hour, time.Hour
		}, want: StaleReports},
		{name: "no demand", snap: func(s *Snapshot) { s.Demand.Classes = nil }, want: NoDemand},
		{name: "light demand", snap: func(s *Snapshot) {
			s.Demand.Classes = []Class{{Rate: 0.1, Prompt: 100, Output: 10, Deadline: time.Minute}}
		}, want: BestAlready},
		{name: "change costs too much", set: func(s *Settings) { s.Weights.Change = 1000 }, want: GainTooSmall},
		{name: "not persistent", history: func(h *History) { h.TargetSince = testNow }, want: NotPersistent},
		{name: "opposite target before", history: func(h *History) {
			h.Target = RoleCounts{Mixed: 4}
		}, want: NotPersistent},
		{name: "budget spent", history: func(h *History) { h.Tokens = 0.5 }, want: BudgetSpent},
		{name: "minimum stay", history: func(h *History) { h.StartedAt = testNow - time.Second }, want: MinimumStay},
		{name: "one past the minimum stay", history: func(h *History) {
			h.Changes = []PastChange{{"a", engine.Mixed, testNow}, {"b", engine.Mixed, testNow}, {"c", engine.Mixed, testNow}}
		}, want: Gain, changes: 1},
		{name: "one unavailable", snap: func(s *Snapshot) { s.Engines[3].Unavailable = true }, want: TooManyUnavailable},
		{name: "floor", set: func(s *Settings) { s.FloorPrefill = 4; s.MaxUnavailable = 2 }, want: BelowFloor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snap, set, h := fourMixed(), set, permissiveHistory(set)
			if tt.snap != nil {
				tt.snap(&snap)
			}
			if tt.history != nil {
				tt.history(&h)
			}
			if tt.set != nil {
				tt.set(&set)
			}
			d, _ := Plan(snap, testNow, set, h)
			if d.Reason != tt.want || len(d.Changes) != tt.changes {
				t.Errorf("got %s with %d changes, want %s with %d: %+v", d.Reason, len(d.Changes), tt.want, tt.changes, d)
			}
		})
	}
}

// An engine must not change its role while others are unavailable, if that would break a floor in
// the meantime.
func TestFloorCountsUnavailableEngines(t *testing.T) {
	set := Defaults(FavourGoodput)
	set.MaxUnavailable = 4
	set.FloorDecode = 2
	snap := fourMixed()
	snap.Engines[2].Unavailable, snap.Engines[3].Unavailable = true, true
	d, _ := Plan(snap, testNow, set, permissiveHistory(set))
	if d.Reason != BelowFloor || d.Changes != nil {
		t.Errorf("got %+v, want none for %s", d, BelowFloor)
	}
}

// A change that is complete but not yet reported is taken into account: the last decode engine is
// not changed.
func TestUnreportedChangeIsCounted(t *testing.T) {
	set := Defaults(FavourGoodput)
	set.FloorDecode = 1
	snap := snapshotOf(engine.Prefill, engine.Prefill, engine.Decode, engine.Decode)
	h := permissiveHistory(set)
	h.Target = RoleCounts{Prefill: 2, Decode: 1, Mixed: 1}
	if d, _ := Plan(snap, testNow, set, h); len(d.Changes) == 0 {
		t.Fatalf("no change without the pending one, the test is void: %+v", d)
	}
	h.Changes = []PastChange{{"c", engine.Mixed, testNow - 10*time.Second}}
	d, _ := Plan(snap, testNow, set, h)
	if want := (RoleCounts{Prefill: 2, Decode: 1, Mixed: 1}); d.Current != want || len(d.Changes) != 0 {
		t.Errorf("got %+v, want no change from %v", d, want)
	}
	h.Changes[0].At = testNow - 2*set.ChangeTimeout
	if d, _ := Plan(snap, testNow, set, h); d.Current != (RoleCounts{Prefill: 2, Decode: 2}) {
		t.Errorf("a change that failed still counts: %+v", d)
	}
}

// The planner keeps its limits over twenty minutes of demand that alternates every two minutes.
func TestChangesStayWithinBudget(t *testing.T) {
	for _, set := range []Settings{Defaults(FavourGoodput), Defaults(FavourStability)} {
		h := NewHistory(0)
		snap := fourMixed()
		var changes []PastChange
		for now := time.Duration(0); now < 20*time.Minute; now += 2 * time.Second {
			snap.Demand.Classes = testDemand
			if now/(2*time.Minute)%2 == 1 {
				snap.Demand.Classes = []Class{{Rate: 30, Prompt: 100, Output: 200, Deadline: 8 * time.Second}}
			}
			var d Decision
			d, h = Plan(snap, now, set, h)
			h = h.Record(now, set, d.Changes)
			for _, c := range d.Changes {
				changes = append(changes, PastChange{c.Engine, c.To, now})
				snap.Engines[c.Engine[0]-'a'].Role = c.To
			}
		}
		checkLimits(t, changes, set)
	}
}

func checkLimits(t *testing.T, changes []PastChange, set Settings) {
	t.Helper()
	if len(changes) == 0 {
		t.Fatal("no change was made, the test is void")
	}
	last := map[string]time.Duration{}
	for i, m := range changes {
		if previous := last[m.Engine]; m.At-previous < set.MinimumStay {
			t.Errorf("%s changed at %v and %v", m.Engine, previous, m.At)
		}
		last[m.Engine] = m.At
		if m.At < set.BudgetInterval*time.Duration(i+1) {
			t.Errorf("change %d at %v exceeds the budget", i+1, m.At)
		}
	}
}

func TestPredictPrefersFittingShapes(t *testing.T) {
	c := Defaults(FavourGoodput).Costs
	split := Predict(RoleCounts{Prefill: 3, Decode: 1}, testDemand, c)
	wrong := Predict(RoleCounts{Prefill: 1, Decode: 3}, testDemand, c)
	if split <= wrong {
		t.Errorf("prefill-heavy demand: 3p/1d predicts %.3f, 1p/3d %.3f", split, wrong)
	}
	if none := Predict(RoleCounts{Prefill: 4}, testDemand, c); none != 0 {
		t.Errorf("without decode got %.3f, want 0", none)
	}
}

func TestCandidatesKeepFloors(t *testing.T) {
	set := Defaults(FavourGoodput)
	set.FloorDecode = 1
	got := candidates(RoleCounts{Prefill: 1, Decode: 1}, set)
	want := []RoleCounts{{Decode: 1, Mixed: 1}, {Prefill: 1, Mixed: 1}, {Mixed: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{4, 400} {
		roles := make([]engine.Role, n)
		for i := range roles {
			roles[i] = engine.Mixed
		}
		snap, set := snapshotOf(roles...), Defaults(FavourGoodput)
		b.Run(CountRoles(snap.Engines).String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(snap, testNow, set, permissiveHistory(set))
			}
		})
	}
}
