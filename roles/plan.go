package roles

import (
	"sort"
	"time"

	"github.com/springweir/springweir/engine"
)

// Plan decides which engines change role now. It returns the history to pass
// to the next round; the caller adds the changes that it really ordered with
// History.Record.
//
// The order of the steps matters: the guards that need nothing but the
// snapshot's freshness come first, so that no figure is computed from stale
// data; the bounds on changes come last, so that the decision still tells what
// would be better.
func Plan(snap Snapshot, now time.Duration, set Settings, h History) (Decision, History) {
	h = h.refill(now, set)
	snap.Engines = h.settled(snap.Engines, now, set)
	current := ShapeOf(snap.Engines)
	d := Decision{Current: current, Target: current}
	if reason, ok := trusted(snap, set); !ok {
		d.Reason = reason
		return d, h.forget()
	}
	h = h.remember(now, snap.Demand.Classes, set)
	v := valuer{classes: withBacklog(snap, set), past: h.Past, set: set}
	d = v.weigh(current)
	if d.Reason != Gain {
		return d, h.forget()
	}
	h = h.want(now, current, d.Target)
	if now-h.WantedSince < set.StabilizationWindow {
		d.Reason = NotPersistent
		return d, h
	}
	d.Changes, d.Reason = bounded(snap.Engines, current, d.Target, now, set, h)
	return d, h
}

// trusted tells whether the snapshot is fresh enough to decide on.
func trusted(snap Snapshot, set Settings) (Reason, bool) {
	d := snap.Demand
	switch {
	case snap.PlatformLost:
		return PlatformLost, false
	case d.Heard < d.Roster || d.Age > set.MaxDemandAge:
		return StaleDemand, false
	case d.Window < set.Warmup:
		return WarmingUp, false
	case !freshReports(snap.Engines, set):
		return StaleReports, false
	}
	if promptRate(d.Classes) == 0 {
		return NoDemand, false
	}
	return "", true
}

// freshReports tells whether enough usable engines have reported lately.
func freshReports(engines []Engine, set Settings) bool {
	usable, fresh := 0, 0
	for _, e := range engines {
		if e.Unusable || e.Unavailable {
			continue
		}
		usable++
		if e.ReportAge <= set.MaxReportAge {
			fresh++
		}
	}
	return usable > 0 && float64(fresh) >= set.MinFresh*float64(usable)
}

// withBacklog adds what waits at the engines to the demand, spread over the
// time in which it is meant to be worked off.
func withBacklog(snap Snapshot, set Settings) []Class {
	waiting := 0
	for _, e := range snap.Engines {
		if !e.Unusable && e.ReportAge <= set.MaxReportAge {
			waiting += e.Load.WaitingTokens
		}
	}
	prompt := promptRate(snap.Demand.Classes)
	classes := append([]Class(nil), snap.Demand.Classes...)
	if prompt == 0 || set.Drain <= 0 {
		return classes
	}
	grow := 1 + float64(waiting)/set.Drain.Seconds()/prompt
	for i := range classes {
		classes[i].Prompt *= grow
	}
	return classes
}

// promptRate is the prompt tokens asked for a second.
func promptRate(classes []Class) float64 {
	sum := 0.0
	for _, k := range classes {
		sum += k.Rate * k.Prompt
	}
	return sum
}

// noise is a difference of goodput that means nothing.
const noise = 1e-6

// valuer tells what shapes are worth.
type valuer struct {
	classes []Class
	past    []Remembered
	set     Settings
}

// value is the predicted goodput of s, for the demand of now and for that
// remembered. What is not remembered yet counts as the demand of now.
func (v valuer) value(s RoleCounts) float64 {
	now := Predict(s, v.classes, v.set.Costs)
	if v.set.MemoryShare == 0 || len(v.past) == 0 {
		return now
	}
	each := v.set.MemoryShare / max(samples, float64(len(v.past)))
	sum := (1 - each*float64(len(v.past))) * now
	for _, r := range v.past {
		sum += each * predictAt(1, s, r.Classes, v.set.Costs)
	}
	return sum
}

// weigh picks the best shape by gain less cost, all in seconds of full goodput.
func (v valuer) weigh(current RoleCounts) Decision {
	now := v.value(current)
	best := Decision{Reason: BestAlready, Current: current, Target: current, Now: now, Then: now}
	net := 0.0
	for _, t := range candidates(current, v.set) {
		d := v.compare(current, t, now)
		if d.Then > now+noise && best.Reason == BestAlready {
			best.Reason = GainTooSmall
		}
		if d.Benefit-d.Cost > net {
			net = d.Benefit - d.Cost
			best = d
			best.Reason = Gain
		}
	}
	return best
}

// compare weighs going from current to t.
func (v valuer) compare(current, t RoleCounts, now float64) Decision {
	w := v.set.Weights
	then := v.value(t)
	n := current.changesTo(t)
	lost := max(now-v.value(without(current, t)), 0)
	away := float64(n) * lost * v.set.ChangeTime.Seconds()
	return Decision{
		Current: current,
		Target:  t,
		Now:     now,
		Then:    then,
		Benefit: w.Goodput * (then - now) * v.set.Horizon.Seconds(),
		Cost:    w.Goodput*away + w.Change*float64(n),
	}
}

// without returns current less one engine of a role that t has fewer of.
func without(current, t RoleCounts) RoleCounts {
	for _, r := range allRoles {
		if t.count(r) < current.count(r) {
			return current.add(r, -1)
		}
	}
	return current
}

// bounded turns the target into changes, within the bounds. When a bound
// holds one engine back the next of its role is tried. It names the bound that
// left no change.
func bounded(engines []Engine, current, target RoleCounts, now time.Duration, set Settings, h History) ([]Change, Reason) {
	b := newBounds(engines, current, now, set, h)
	reason := MinimumStay
	var out []Change
	for _, from := range allRoles {
		for _, e := range movable(engines, from) {
			to, ok := wanted(current, target)
			if !ok || current.count(from) <= target.count(from) {
				break
			}
			c := Change{Engine: e.Name, From: from, To: to}
			if r, ok := b.allow(c); !ok {
				reason = r
				continue
			}
			out = append(out, c)
			current = current.add(from, -1).add(to, 1)
		}
	}
	if len(out) > 0 {
		reason = Gain
	}
	return out, reason
}

// newBounds returns the bounds before any change is picked.
func newBounds(engines []Engine, current RoleCounts, now time.Duration, set Settings, h History) *bounds {
	b := &bounds{set: set, h: h, now: now, serving: serving(engines)}
	b.room = set.MaxUnavailable * stepOf(current.Size())
	for _, e := range engines {
		if e.Unavailable && !e.Unusable {
			b.room--
		}
	}
	return b
}

// bounds is what is left of each bound while changes are picked.
type bounds struct {
	set     Settings
	h       History
	now     time.Duration
	room    int
	serving RoleCounts
}

// allow takes c if every bound has room for it.
func (b *bounds) allow(c Change) (Reason, bool) {
	left := b.serving.add(c.From, -1)
	switch {
	case b.room <= 0:
		return TooManyAway, false
	case b.h.Tokens < 1:
		return BudgetSpent, false
	case b.h.stayed(b.now, c.Engine) < b.set.MinimumStay:
		return MinimumStay, false
	case !left.keepsFloors(b.set):
		return BelowFloor, false
	}
	b.room--
	b.h.Tokens--
	b.serving = left
	return "", true
}

// serving counts the usable engines that are not away.
func serving(engines []Engine) RoleCounts {
	var s RoleCounts
	for _, e := range engines {
		if !e.Unusable && !e.Unavailable {
			s = s.add(e.Role, 1)
		}
	}
	return s
}

// wanted returns a role of which target has more than current.
func wanted(current, target RoleCounts) (engine.Role, bool) {
	for _, r := range allRoles {
		if target.count(r) > current.count(r) {
			return r, true
		}
	}
	return "", false
}

// movable returns the usable engines of a role that are not away, the least
// loaded first and by name after that.
func movable(engines []Engine, role engine.Role) []Engine {
	var out []Engine
	for _, e := range engines {
		if e.Role == role && !e.Unavailable && !e.Unusable {
			out = append(out, e)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].Load, out[j].Load
		if a.Running+a.Waiting != b.Running+b.Waiting {
			return a.Running+a.Waiting < b.Running+b.Waiting
		}
		return out[i].Name < out[j].Name
	})
	return out
}
