package roles

import (
	"sort"
	"time"

	"github.com/springweir/springweir/engine"
)

// Plan decides which engines change role now, and returns the history for the next round. The
// caller adds the changes that it actually ordered with History.Record.
//
// The order of the steps matters. Checks of the snapshot's freshness come first, so that nothing is
// computed from stale data. The limits on changes come last, so that the decision still contains
// the best target.
func Plan(snap Snapshot, now time.Duration, set Settings, h History) (Decision, History) {
	h = h.refill(now, set)
	snap.Engines = h.expectedEngines(snap.Engines, now, set)
	current := CountRoles(snap.Engines)
	d := Decision{Current: current, Target: current}
	if reason, ok := checkSnapshot(snap, set); !ok {
		d.Reason = reason
		return d, h.clearTarget()
	}
	h = h.recordDemand(now, snap.Demand.Classes, set)
	ev := evaluator{classes: addBacklog(snap, set), history: h.Demands, set: set}
	d = ev.best(current)
	if d.Reason != Gain {
		return d, h.clearTarget()
	}
	h = h.setTarget(now, current, d.Target)
	if now-h.TargetSince < set.StabilisationWindow {
		d.Reason = NotPersistent
		return d, h
	}
	d.Changes, d.Reason = selectChanges(snap.Engines, current, d.Target, now, set, h)
	return d, h
}

// checkSnapshot reports whether the snapshot is fresh enough for a decision, or else why it is not.
func checkSnapshot(snap Snapshot, set Settings) (Reason, bool) {
	d := snap.Demand
	switch {
	case snap.PlatformLost:
		return PlatformLost, false
	case d.Contributors < d.Registered || d.Age > set.MaxDemandAge:
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

// freshReports reports whether enough usable engines have a recent load report.
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
	return usable > 0 && float64(fresh) >= set.MinFreshFraction*float64(usable)
}

// addBacklog returns the demand with the prompts that wait at the engines added, spread over
// BacklogDrainTime.
func addBacklog(snap Snapshot, set Settings) []Class {
	waiting := 0
	for _, e := range snap.Engines {
		if !e.Unusable && e.ReportAge <= set.MaxReportAge {
			waiting += e.Load.WaitingTokens
		}
	}
	prompt := promptRate(snap.Demand.Classes)
	classes := append([]Class(nil), snap.Demand.Classes...)
	if prompt == 0 || set.BacklogDrainTime <= 0 {
		return classes
	}
	factor := 1 + float64(waiting)/set.BacklogDrainTime.Seconds()/prompt
	for i := range classes {
		classes[i].Prompt *= factor
	}
	return classes
}

// promptRate returns the demand in prompt tokens per second.
func promptRate(classes []Class) float64 {
	sum := 0.0
	for _, k := range classes {
		sum += k.Rate * k.Prompt
	}
	return sum
}

// minGoodputDifference is the difference of goodput up to which two predictions count as equal.
const minGoodputDifference = 1e-6

// evaluator evaluates role counts.
type evaluator struct {
	classes []Class
	history []PastDemand
	set     Settings
}

// goodput returns the predicted goodput of s, averaged over the current and the past demand.
// Missing samples count as the current demand.
func (ev evaluator) goodput(s RoleCounts) float64 {
	now := Predict(s, ev.classes, ev.set.Costs)
	if ev.set.HistoryWeight == 0 || len(ev.history) == 0 {
		return now
	}
	weight := ev.set.HistoryWeight / max(historySamples, float64(len(ev.history)))
	sum := (1 - weight*float64(len(ev.history))) * now
	for _, r := range ev.history {
		sum += weight * predictAt(1, s, r.Classes, ev.set.Costs)
	}
	return sum
}

// best returns the decision with the highest benefit less cost, in seconds of full goodput.
func (ev evaluator) best(current RoleCounts) Decision {
	now := ev.goodput(current)
	best := Decision{Reason: BestAlready, Current: current, Target: current, CurrentGoodput: now, TargetGoodput: now}
	net := 0.0
	for _, target := range candidates(current, ev.set) {
		d := ev.compare(current, target, now)
		if d.TargetGoodput > now+minGoodputDifference && best.Reason == BestAlready {
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

// compare evaluates the change from current to target.
func (ev evaluator) compare(current, target RoleCounts, now float64) Decision {
	w := ev.set.Weights
	then := ev.goodput(target)
	n := current.changesTo(target)
	loss := max(now-ev.goodput(duringChange(current, target)), 0)
	changeCost := float64(n) * loss * ev.set.ChangeTime.Seconds()
	return Decision{
		Current:        current,
		Target:         target,
		CurrentGoodput: now,
		TargetGoodput:  then,
		Benefit:        w.Goodput * (then - now) * ev.set.Horizon.Seconds(),
		Cost:           w.Goodput*changeCost + w.Change*float64(n),
	}
}

// duringChange returns current less one engine of a role that target has fewer of.
func duringChange(current, target RoleCounts) RoleCounts {
	for _, r := range allRoles {
		if target.count(r) < current.count(r) {
			return current.add(r, -1)
		}
	}
	return current
}

// selectChanges returns the changes towards the target that the limits allow. If a limit excludes
// an engine, the next one of its role is tried. Without changes it returns the limit that prevented
// them.
func selectChanges(engines []Engine, current, target RoleCounts, now time.Duration, set Settings, h History) ([]Change, Reason) {
	limits := newChangeLimits(engines, current, now, set, h)
	reason := MinimumStay
	var out []Change
	for _, from := range allRoles {
		for _, e := range movable(engines, from) {
			to, ok := growingRole(current, target)
			if !ok || current.count(from) <= target.count(from) {
				break
			}
			c := Change{Engine: e.Name, From: from, To: to}
			if r, ok := limits.allow(c); !ok {
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

// newChangeLimits returns the limits before any change is selected.
func newChangeLimits(engines []Engine, current RoleCounts, now time.Duration, set Settings, h History) *changeLimits {
	l := &changeLimits{set: set, h: h, now: now, serving: serving(engines)}
	l.available = set.MaxUnavailable * stepSize(current.Size())
	for _, e := range engines {
		if e.Unavailable && !e.Unusable {
			l.available--
		}
	}
	return l
}

// changeLimits holds what remains of each limit while changes are selected.
type changeLimits struct {
	set       Settings
	h         History
	now       time.Duration
	available int
	serving   RoleCounts
}

// allow applies c to the limits if all of them permit it; otherwise it returns the limit that does
// not.
func (l *changeLimits) allow(c Change) (Reason, bool) {
	left := l.serving.add(c.From, -1)
	switch {
	case l.available <= 0:
		return TooManyUnavailable, false
	case l.h.Tokens < 1:
		return BudgetSpent, false
	case l.h.timeInRole(l.now, c.Engine) < l.set.MinimumStay:
		return MinimumStay, false
	case !left.meetsFloors(l.set):
		return BelowFloor, false
	}
	l.available--
	l.h.Tokens--
	l.serving = left
	return "", true
}

// serving counts the engines that are both usable and available.
func serving(engines []Engine) RoleCounts {
	var s RoleCounts
	for _, e := range engines {
		if !e.Unusable && !e.Unavailable {
			s = s.add(e.Role, 1)
		}
	}
	return s
}

// growingRole returns a role of which target has more engines than current.
func growingRole(current, target RoleCounts) (engine.Role, bool) {
	for _, r := range allRoles {
		if target.count(r) > current.count(r) {
			return r, true
		}
	}
	return "", false
}

// movable returns the available usable engines of a role, sorted by load and then by name.
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
