package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Tries counts the failures of one load.
type Tries struct {
	Engine    string
	Artifact  weightstore.Artifact
	Failures  int
	NotBefore time.Duration
}

// History is what the planner remembers between rounds. It is a value.
type History struct{ Tries []Tries }

// Plan decides which loads end and which begin now, and returns the history
// for the next round.
//
// Ends come before starts: a slot whose load is over can be claimed in the next
// round only, after its row was seen to be free, so two loads never share one.
func Plan(snap Snapshot, now time.Duration, set Settings, h History) (Decision, History) {
	var d Decision
	h.Tries = slices.Clone(h.Tries)
	running := 0
	for _, r := range snap.Running {
		e, over := ending(snap, r, now, set)
		if !over {
			running++
			continue
		}
		d.Ends = append(d.Ends, e)
		if e.Release {
			h = h.after(e, now, set)
		}
	}
	wants := slices.Clone(snap.Desired)
	slices.SortStableFunc(wants, mostWanted)
	p := picker{snap: snap, set: set, h: h, now: now, running: running, free: snap.FreeSlots}
	for _, w := range wants {
		if reason := p.pick(w); reason != Wanted {
			d.Deferred = append(d.Deferred, Deferred{w, reason})
		}
	}
	d.Starts = p.starts
	return d, h
}

// mostWanted orders by weight, then smaller first, then by name.
func mostWanted(a, b Load) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Bytes, b.Bytes), cmp.Compare(a.Engine, b.Engine))
}

// ending tells whether a load is over, from what its engine says.
func ending(snap Snapshot, r Running, now time.Duration, set Settings) (End, bool) {
	end := End{Running: r, Release: now-r.StartedAt >= expected(r.Load, snap.SlotRate)}
	o, known := observed(snap.Engines, r.Load.Engine)
	switch {
	case !known || o.Unavailable:
		end.Reason, end.Release = Gone, true
	case slices.Contains(o.Loaded, r.Load.Artifact) && r.Phase != Failed:
		end.Reason = Done
	case o.Incarnation != r.Load.Incarnation:
		end.Reason, end.Release = Crashed, true
	case r.Phase == Failed:
		end.Reason, end.Unload = OrderFailed, true
	case now-r.StartedAt > allowed(r.Load, snap.SlotRate, set):
		end.Reason, end.Unload, end.Release = TooSlow, true, true
	default:
		return End{}, false
	}
	return end, true
}

// expected is the time of a fetch at the rate that a slot stands for.
func expected(w Load, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(w.Bytes) / rate * float64(time.Second))
}

// allowed is the time after which a load counts as stuck.
func allowed(w Load, rate float64, set Settings) time.Duration {
	return set.Grace + time.Duration(set.Overdue*float64(expected(w, rate)))
}

func observed(engines []EngineState, name string) (EngineState, bool) {
	for _, o := range engines {
		if o.Engine == name {
			return o, true
		}
	}
	return EngineState{}, false
}

// after notes how a load ended: a failure waits longer each time, a success
// forgets the failures.
func (h History) after(e End, now time.Duration, set Settings) History {
	w := e.Running.Load
	t := Tries{Engine: w.Engine, Artifact: w.Artifact}
	if i := h.find(w); i >= 0 {
		t = h.Tries[i]
		h.Tries = slices.Delete(h.Tries, i, i+1)
	}
	if e.Reason == Done || e.Reason == Gone {
		return h
	}
	backoff := min(set.MaxBackoff, set.FirstBackoff<<min(t.Failures, maxDoublings))
	t.Failures++
	t.NotBefore = now + backoff
	h.Tries = append(h.Tries, t)
	return h
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 16

func (h History) find(w Load) int {
	return slices.IndexFunc(h.Tries, func(t Tries) bool {
		return t.Engine == w.Engine && t.Artifact == w.Artifact
	})
}

// picker takes wants while there is room.
type picker struct {
	snap    Snapshot
	set     Settings
	h       History
	now     time.Duration
	running int
	free    []int
	starts  []Start
}

// pick starts w if it may begin now, and tells why not otherwise.
func (p *picker) pick(w Load) Reason {
	o, known := observed(p.snap.Engines, w.Engine)
	switch {
	case !known || o.Unavailable:
		return Gone
	case slices.Contains(o.Loaded, w.Artifact):
		return Done
	case o.Busy || o.Incarnation != w.Incarnation || p.taken(w.Engine):
		return EngineBusy
	case p.waits(w):
		return BackingOff
	case p.running >= p.set.MaxRunning:
		return ZoneFull
	case len(p.free) == 0:
		return NoSlot
	case p.outranked(w):
		return Outranked
	}
	p.starts = append(p.starts, Start{Load: w, Slot: p.free[0]})
	p.free = p.free[1:]
	p.running++
	return Wanted
}

// taken tells whether the engine has a load already.
func (p *picker) taken(engine string) bool {
	for _, r := range p.snap.Running {
		if r.Load.Engine == engine {
			return true
		}
	}
	for _, s := range p.starts {
		if s.Load.Engine == engine {
			return true
		}
	}
	return false
}

func (p *picker) waits(w Load) bool {
	i := p.h.find(w)
	return i >= 0 && p.now < p.h.Tries[i].NotBefore
}

// outranked tells whether other zones want as many loads more than w as there
// are free slots.
func (p *picker) outranked(w Load) bool {
	above := 0
	for _, weight := range p.snap.CompetingDemand {
		if weight > w.Weight {
			above++
		}
	}
	return above >= len(p.free)
}
