package roles

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
)

const testNow = 1000 * time.Second

// letters is a demand that four mixed engines carry badly: long prompts whose
// prefill slows down the short answers beside it.
var letters = []Class{
	{Rate: 3, Prompt: 5600, Output: 200, Deadline: 20 * time.Second},
	{Rate: 7, Prompt: 120, Output: 100, Deadline: 5 * time.Second},
}

func zoneOf(roles ...engine.Role) Snapshot {
	snap := Snapshot{Demand: Demand{Classes: letters, Window: time.Minute, Heard: 3, Roster: 3}}
	for i, r := range roles {
		snap.Engines = append(snap.Engines, Engine{Name: string(rune('a' + i)), Role: r})
	}
	return snap
}

func fourMixed() Snapshot {
	return zoneOf(engine.Mixed, engine.Mixed, engine.Mixed, engine.Mixed)
}

// ripe is a history in which nothing holds a change back.
func ripe(set Settings) History {
	return History{
		Tokens: float64(set.BudgetBurst), TokensAt: testNow,
		Wanting: true, Wanted: RoleCounts{Prefill: 1, Mixed: 3}, WantedSince: testNow - time.Minute,
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
		{name: "entry missing from the demand", snap: func(s *Snapshot) { s.Demand.Heard = 2 }, want: StaleDemand},
		{name: "old demand", snap: func(s *Snapshot) { s.Demand.Age = time.Minute }, want: StaleDemand},
		{name: "short window", snap: func(s *Snapshot) { s.Demand.Window = time.Second }, want: WarmingUp},
		{name: "frozen reports", snap: func(s *Snapshot) {
			s.Engines[0].ReportAge, s.Engines[1].ReportAge = time.Hour, time.Hour
		}, want: StaleReports},
		{name: "no demand", snap: func(s *Snapshot) { s.Demand.Classes = nil }, want: NoDemand},
		{name: "light demand", snap: func(s *Snapshot) {
			s.Demand.Classes = []Class{{Rate: 0.1, Prompt: 100, Output: 10, Deadline: time.Minute}}
		}, want: BestAlready},
		{name: "change weighs too much", set: func(s *Settings) { s.Weights.Change = 1000 }, want: GainTooSmall},
		{name: "not persistent", history: func(h *History) { h.WantedSince = testNow }, want: NotPersistent},
		{name: "wanted the opposite before", history: func(h *History) {
			h.Wanted = RoleCounts{Mixed: 4}
		}, want: NotPersistent},
		{name: "budget spent", history: func(h *History) { h.Tokens = 0.5 }, want: BudgetSpent},
		{name: "minimum stay", history: func(h *History) { h.Began = testNow - time.Second }, want: MinimumStay},
		{name: "one stayed", history: func(h *History) {
			h.Changes = []Made{{"a", engine.Mixed, testNow}, {"b", engine.Mixed, testNow}, {"c", engine.Mixed, testNow}}
		}, want: Gain, changes: 1},
		{name: "one away", snap: func(s *Snapshot) { s.Engines[3].Unavailable = true }, want: TooManyAway},
		{name: "floor", set: func(s *Settings) { s.FloorPrefill = 4; s.MaxUnavailable = 2 }, want: BelowFloor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snap, set, h := fourMixed(), set, ripe(set)
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

// TestServingFloor shows that an engine is not taken away while another is
// and the floor would be broken for that time.
func TestServingFloor(t *testing.T) {
	set := Defaults(FavourGoodput)
	set.MaxUnavailable = 4
	set.FloorDecode = 2
	snap := fourMixed()
	snap.Engines[2].Unavailable, snap.Engines[3].Unavailable = true, true
	d, _ := Plan(snap, testNow, set, ripe(set))
	if d.Reason != BelowFloor || d.Changes != nil {
		t.Errorf("got %+v, want none for %s", d, BelowFloor)
	}
}

// TestRoleNotYetReported shows that a change which is done but not yet
// reported is reckoned with: the last decode engine is not taken.
func TestRoleNotYetReported(t *testing.T) {
	set := Defaults(FavourGoodput)
	set.FloorDecode = 1
	snap := zoneOf(engine.Prefill, engine.Prefill, engine.Decode, engine.Decode)
	h := ripe(set)
	h.Wanted = RoleCounts{Prefill: 2, Decode: 1, Mixed: 1}
	if d, _ := Plan(snap, testNow, set, h); len(d.Changes) == 0 {
		t.Fatalf("no change wanted: the test shows nothing: %+v", d)
	}
	h.Changes = []Made{{"c", engine.Mixed, testNow - 10*time.Second}}
	d, _ := Plan(snap, testNow, set, h)
	if want := (RoleCounts{Prefill: 2, Decode: 1, Mixed: 1}); d.Current != want || len(d.Changes) != 0 {
		t.Errorf("got %+v, want no change from %v", d, want)
	}
	h.Changes[0].At = testNow - 2*set.Settle
	if d, _ := Plan(snap, testNow, set, h); d.Current != (RoleCounts{Prefill: 2, Decode: 2}) {
		t.Errorf("a change that failed long ago still counts: %+v", d)
	}
}

// TestChangesWithinBudget runs the planner for twenty minutes of demand that flips
// every two minutes and checks the bounds after the fact.
func TestChangesWithinBudget(t *testing.T) {
	for _, set := range []Settings{Defaults(FavourGoodput), Defaults(FavourStability)} {
		h := NewHistory(0)
		snap := fourMixed()
		var made []Made
		for now := time.Duration(0); now < 20*time.Minute; now += 2 * time.Second {
			snap.Demand.Classes = letters
			if now/(2*time.Minute)%2 == 1 {
				snap.Demand.Classes = []Class{{Rate: 30, Prompt: 100, Output: 200, Deadline: 8 * time.Second}}
			}
			var d Decision
			d, h = Plan(snap, now, set, h)
			h = h.Record(now, set, d.Changes)
			for _, c := range d.Changes {
				made = append(made, Made{c.Engine, c.To, now})
				snap.Engines[c.Engine[0]-'a'].Role = c.To
			}
		}
		checkBounds(t, made, set)
	}
}

func checkBounds(t *testing.T, made []Made, set Settings) {
	t.Helper()
	if len(made) == 0 {
		t.Fatal("no change was made: the test shows nothing")
	}
	last := map[string]time.Duration{}
	for i, m := range made {
		if before := last[m.Engine]; m.At-before < set.MinimumStay {
			t.Errorf("%s changed at %v and %v", m.Engine, before, m.At)
		}
		last[m.Engine] = m.At
		if m.At < set.BudgetInterval*time.Duration(i+1) {
			t.Errorf("change %d at %v is over the budget", i+1, m.At)
		}
	}
}

func TestPredictPrefersFittingShapes(t *testing.T) {
	c := Defaults(FavourGoodput).Costs
	split := Predict(RoleCounts{Prefill: 3, Decode: 1}, letters, c)
	wrong := Predict(RoleCounts{Prefill: 1, Decode: 3}, letters, c)
	if split <= wrong {
		t.Errorf("prefill-heavy demand: 3p/1d predicts %.3f, 1p/3d %.3f", split, wrong)
	}
	if none := Predict(RoleCounts{Prefill: 4}, letters, c); none != 0 {
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
		snap, set := zoneOf(roles...), Defaults(FavourGoodput)
		b.Run(ShapeOf(snap.Engines).String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(snap, testNow, set, ripe(set))
			}
		})
	}
}
