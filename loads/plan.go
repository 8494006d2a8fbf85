package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Backoff holds the consecutive failures of one load and the time of its next attempt.
type Backoff struct {
	Engine    string
	Artifact  weightstore.Artifact
	Failures  int
	NotBefore time.Duration
}

// History is the planner's state between rounds. Plan returns a new one and leaves its argument
// unchanged.
type History struct{ Backoffs []Backoff }

// Plan decides which loads end and which start now, and returns the history for the next round.
//
// Ends are decided before starts. The slot of an ended load can be claimed only in the next round,
// after its row was read as free, so two loads never share a slot.
func Plan(snap Snapshot, now time.Duration, set Settings, h History) (Decision, History) {
	var d Decision
	h.Backoffs = slices.Clone(h.Backoffs)
	running := 0
	for _, r := range snap.Running {
		e, over := checkEnded(snap, r, now, set)
		if !over {
			running++
			continue
		}
		d.Ends = append(d.Ends, e)
		if e.Release {
			h = h.record(e, now, set)
		}
	}
	desired := slices.Clone(snap.Desired)
	slices.SortStableFunc(desired, compareLoads)
	p := picker{snap: snap, set: set, h: h, now: now, running: running, freeSlots: snap.FreeSlots}
	for _, load := range desired {
		if reason := p.pick(load); reason != Wanted {
			d.Deferred = append(d.Deferred, Deferred{load, reason})
		}
	}
	d.Starts = p.starts
	return d, h
}

// compareLoads orders loads by descending weight, then by size, then by engine name.
func compareLoads(a, b Load) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Bytes, b.Bytes), cmp.Compare(a.Engine, b.Engine))
}

// checkEnded reports whether a load has ended according to the state of its engine.
func checkEnded(snap Snapshot, r Running, now time.Duration, set Settings) (End, bool) {
	end := End{Running: r, Release: now-r.StartedAt >= expectedDuration(r.Load, snap.SlotRate)}
	state, known := findEngine(snap.Engines, r.Load.Engine)
	switch {
	case !known || state.Unavailable:
		end.Reason, end.Release = EngineUnavailable, true
	case slices.Contains(state.Loaded, r.Load.Artifact) && r.Phase != Failed:
		end.Reason = Done
	case state.Incarnation != r.Load.Incarnation:
		end.Reason, end.Release = Crashed, true
	case r.Phase == Failed:
		end.Reason, end.Unload = OrderFailed, true
	case now-r.StartedAt > loadTimeout(r.Load, snap.SlotRate, set):
		end.Reason, end.Unload, end.Release = TooSlow, true, true
	default:
		return End{}, false
	}
	return end, true
}

// expectedDuration returns the duration of a fetch at the rate of a slot, in bytes per second.
func expectedDuration(load Load, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(load.Bytes) / rate * float64(time.Second))
}

// loadTimeout returns the time after which a load counts as stuck.
func loadTimeout(load Load, rate float64, set Settings) time.Duration {
	return set.TimeoutGrace + time.Duration(set.TimeoutFactor*float64(expectedDuration(load, rate)))
}

func findEngine(engines []EngineState, name string) (EngineState, bool) {
	for _, state := range engines {
		if state.Engine == name {
			return state, true
		}
	}
	return EngineState{}, false
}

// record updates the backoff of a load that ended: it doubles with each failure, and a success or
// the loss of the engine clears it.
func (h History) record(e End, now time.Duration, set Settings) History {
	load := e.Running.Load
	t := Backoff{Engine: load.Engine, Artifact: load.Artifact}
	if i := h.find(load); i >= 0 {
		t = h.Backoffs[i]
		h.Backoffs = slices.Delete(h.Backoffs, i, i+1)
	}
	if e.Reason == Done || e.Reason == EngineUnavailable {
		return h
	}
	backoff := min(set.MaxBackoff, set.InitialBackoff<<min(t.Failures, maxDoublings))
	t.Failures++
	t.NotBefore = now + backoff
	h.Backoffs = append(h.Backoffs, t)
	return h
}

// maxDoublings prevents an overflow of the backoff.
const maxDoublings = 16

func (h History) find(load Load) int {
	return slices.IndexFunc(h.Backoffs, func(t Backoff) bool {
		return t.Engine == load.Engine && t.Artifact == load.Artifact
	})
}

// picker selects the loads to start within the limits.
type picker struct {
	snap      Snapshot
	set       Settings
	h         History
	now       time.Duration
	running   int
	freeSlots []int
	starts    []Start
}

// pick starts a load if it may start now and returns Wanted; otherwise it returns why the load is
// deferred.
func (p *picker) pick(load Load) Reason {
	state, known := findEngine(p.snap.Engines, load.Engine)
	switch {
	case !known || state.Unavailable:
		return EngineUnavailable
	case slices.Contains(state.Loaded, load.Artifact):
		return Done
	case state.Busy || state.Incarnation != load.Incarnation || p.hasLoad(load.Engine):
		return EngineBusy
	case p.backingOff(load):
		return BackingOff
	case p.running >= p.set.MaxRunning:
		return ZoneFull
	case len(p.freeSlots) == 0:
		return NoSlot
	case p.outranked(load):
		return Outranked
	}
	p.starts = append(p.starts, Start{Load: load, Slot: p.freeSlots[0]})
	p.freeSlots = p.freeSlots[1:]
	p.running++
	return Wanted
}

// hasLoad reports whether a load is running or about to start on the engine.
func (p *picker) hasLoad(engine string) bool {
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

func (p *picker) backingOff(load Load) bool {
	i := p.h.find(load)
	return i >= 0 && p.now < p.h.Backoffs[i].NotBefore
}

// outranked reports whether other zones have at least as many loads of a higher weight as there are
// free slots.
func (p *picker) outranked(load Load) bool {
	higher := 0
	for _, weight := range p.snap.CompetingDemand {
		if weight > load.Weight {
			higher++
		}
	}
	return higher >= len(p.freeSlots)
}
