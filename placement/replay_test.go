package placement

import (
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

// A replay plays a load on the planners of several VMs in time of its own: requests come
// to a VM, engines read prompts one after the other at a pace that the planners do not
// know, caches fill, and the VMs hear of each other's work late. It leaves out decoding
// at length, memory that runs out, links and lost datagrams.
type replay struct {
	now     time.Time
	events  events
	random  *rand.Rand
	planned int
	config  *routes.Config
	vms     []*replayVM
	engines map[string]*replayEngine
	served  []outcome
	// readTokens are those that engines had to read.
	readTokens int
	// every and delay are how often VMs tell of their work, and how late the others
	// hear of it.
	every, delay time.Duration
}

type replayVM struct {
	dir     *directory.Directory
	planner *Planner
}

// replayEngine reads prompts in the order in which they come.
type replayEngine struct {
	role engine.Role
	pace truth
	free time.Time
	// held tells since when a part is in the cache.
	held map[string]time.Time
	// refuses tells that the engine takes no work.
	refuses bool
}

// outcome is how a request went.
type outcome struct {
	at               time.Time
	first, predicted time.Duration
	objective        time.Duration
	refused, lost    bool
}

func (o outcome) inTime() bool { return !o.refused && !o.lost && o.first <= o.objective }

const (
	// newsEvery and newsDelay are the usual figures of a small region.
	newsEvery = 10 * time.Millisecond
	newsDelay = 2 * time.Millisecond
	// importTime is how long an import and the first step take.
	importTime = 10 * time.Millisecond
)

func newReplay(t *testing.T, seed uint64, vms, prefill, decode int, slowPrefill, slowDecode truth) *replay {
	t.Helper()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	r := &replay{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*replayEngine{}, every: newsEvery, delay: newsDelay}
	r.config = &routes.Config{Services: []routes.Service{
		{Name: "llm", Engine: &routes.Engine{Slots: 64, KVTokens: 400_000, KVTokenBytes: 100_000, LinkBitsPerSecond: 1e12}},
	}}
	r.config.Index()
	for i := range prefill {
		r.engines[fmt.Sprint("p", i)] = &replayEngine{role: engine.Prefill, pace: slowPrefill, held: map[string]time.Time{}}
	}
	for i := range decode {
		r.engines[fmt.Sprint("d", i)] = &replayEngine{role: engine.Decode, pace: slowDecode, held: map[string]time.Time{}}
	}
	for range vms {
		r.vms = append(r.vms, nil)
	}
	r.start()
	r.after(r.every, r.tellAll)
	return r
}

// start gives every VM a planner that knows the endpoints and nothing else.
func (r *replay) start() {
	for i := range r.vms {
		vm := &replayVM{}
		vm.dir = directory.New(func(old, now *directory.Snapshot) { vm.planner.SetEndpoints(old, now) })
		vm.planner = New(Config{
			Zone: "a", Directory: vm.dir, Routes: func() *routes.Config { return r.config }, RoleChanges: func() []string { return nil },
			Tuning: DefaultTuning(), Now: func() time.Time { return r.now }, Random: rand.New(rand.NewPCG(r.random.Uint64(), 2)),
		})
		var list []directory.Registration
		for _, id := range r.names() {
			list = append(list, directory.Registration{ID: id, Service: "llm", Zone: "a", Slots: 64, Role: r.engines[id].role})
		}
		vm.dir.Replace(list, false)
		r.vms[i] = vm
	}
}

// names are those of the engines, in an order that is always the same.
func (r *replay) names() []string { return slices.Sorted(maps.Keys(r.engines)) }

// tellAll has each VM tell the others of its work.
func (r *replay) tellAll() {
	for i, vm := range r.vms {
		own := vm.planner.LocalReport()
		load := &sharepb.Load{Vm: fmt.Sprint("vm", i), Work: own.Work, Placed: own.Placed, Changing: own.Changing, Refusing: own.Refusing}
		for j, other := range r.vms {
			if j != i {
				r.after(r.delay, func() { other.planner.ReceiveLoad(load) })
			}
		}
	}
	r.after(r.every, r.tellAll)
}

// request has a VM place a prompt and the engines serve it.
func (r *replay) request(vm int, parts []prompt.Part, objective time.Duration) {
	p := &prompt.Prompt{Parts: parts}
	for _, part := range parts {
		p.Tokens += part.Tokens
	}
	req := &relay.Request{
		ID: fmt.Sprint("r", len(r.served)), Service: "llm", Received: r.now, Deadline: r.now.Add(10 * objective), Prompt: p,
		Route: &routes.Route{Kind: routes.Stream, MaxAttempts: 1, Objective: objective},
	}
	n := len(r.served)
	r.served = append(r.served, outcome{at: r.now, objective: objective})
	plan, failed := r.vms[vm].planner.Plan(req, relay.AttemptState{})
	if failed != nil {
		r.served[n].refused = true
		return
	}
	r.served[n].predicted = plan.ExpectedLatency
	if plan.Prefill != nil && r.refuse(n, plan.Prefill.ID, func(f *failure.Request) { plan.Watch.Prefilled(f, false); plan.Watch.Finished(nil, true) }) {
		return
	}
	if r.refuse(n, plan.Serve.ID, func(f *failure.Request) { plan.Watch.Prefilled(nil, true); plan.Watch.Finished(f, false) }) {
		return
	}
	reader := plan.Serve.ID
	if plan.Prefill != nil {
		reader = plan.Prefill.ID
	}
	done := r.read(r.engines[reader], plan.CopyFrom, parts)
	r.at(done, func() {
		if plan.Prefill != nil {
			plan.Watch.Prefilled(nil, false)
		}
		r.decode(n, plan, parts)
	})
}

// refuse ends a request whose engine takes no work.
func (r *replay) refuse(n int, id string, end func(*failure.Request)) bool {
	if !r.engines[id].refuses {
		return false
	}
	r.served[n].lost = true
	r.after(time.Millisecond, func() { end(&failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}) })
	return true
}

// read has an engine read a prompt behind what it was given before, and tells when that
// is done.
func (r *replay) read(e *replayEngine, from *directory.Endpoint, parts []prompt.Part) time.Time {
	begin := r.now.Add(time.Millisecond)
	if e.free.After(begin) {
		begin = e.free
	}
	cached, all := 0, 0
	leading := true
	for _, part := range parts {
		all += part.Tokens
		if leading = leading && (holdsPart(e, part, begin) || from != nil && holdsPart(r.engines[from.ID], part, begin)); leading {
			cached += part.Tokens
		}
	}
	uncached := max(1, all-cached)
	r.readTokens += uncached
	e.free = begin.Add(e.pace.time(amountOf(uncached, cached)))
	for _, part := range parts {
		if since, held := e.held[part.ID]; !held || e.free.Before(since) {
			e.held[part.ID] = e.free
		}
	}
	return e.free
}

func holdsPart(e *replayEngine, part prompt.Part, now time.Time) bool {
	since, held := e.held[part.ID]
	return held && !now.Before(since)
}

// decode has the serving engine import the cache, behind what it reads itself.
func (r *replay) decode(n int, plan relay.Plan, parts []prompt.Part) {
	e := r.engines[plan.Serve.ID]
	begin := r.now
	if plan.Prefill != nil && e.free.After(begin) {
		begin = e.free
	}
	r.at(begin.Add(importTime), func() {
		r.served[n].first = r.now.Sub(r.served[n].at)
		for _, part := range parts {
			if _, held := e.held[part.ID]; !held {
				e.held[part.ID] = r.now
			}
		}
		plan.Watch.FirstEvent()
		r.after(300*time.Millisecond, func() { plan.Watch.Finished(nil, false) })
	})
}

// load has prompts come at random, so many a second, for a time.
func (r *replay) load(perSecond float64, length time.Duration, draw func(n int) ([]prompt.Part, time.Duration)) {
	at := r.now
	end := at.Add(length)
	for n := 0; ; n++ {
		at = at.Add(time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)))
		if at.After(end) {
			return
		}
		parts, objective := draw(n)
		vm := r.random.IntN(len(r.vms))
		r.at(at, func() { r.request(vm, parts, objective) })
	}
}

// dossier is a long prompt of a heavy-tailed length behind a shared part.
func (r *replay) dossier(n int) ([]prompt.Part, time.Duration) {
	subject := r.random.IntN(60)
	own := int(min(40_000, 400+2200*math.Exp(0.9*r.random.NormFloat64())))
	return []prompt.Part{{ID: fmt.Sprint("s", subject), Tokens: 6000 + subject*150}, {ID: fmt.Sprint("own", n), Tokens: own}}, 600 * time.Millisecond
}

// question is a short prompt behind a small shared part.
func question(n int) ([]prompt.Part, time.Duration) {
	return []prompt.Part{{ID: fmt.Sprint("q", n%20), Tokens: 300}, {ID: fmt.Sprint("own", n), Tokens: 500}}, 300 * time.Millisecond
}

func (r *replay) run(length time.Duration) {
	end := r.now.Add(length)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

func (r *replay) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }
func (r *replay) at(at time.Time, do func()) {
	r.planned++
	heap.Push(&r.events, event{at, r.planned, do})
}
func (r *replay) since(at time.Time) (out []outcome) { return r.between(at, r.now) }

func (r *replay) between(from, to time.Time) (out []outcome) {
	for _, o := range r.served {
		if !o.at.Before(from) && o.at.Before(to) {
			out = append(out, o)
		}
	}
	return out
}

func inTimeShare(list []outcome) float64 {
	n := 0
	for _, o := range list {
		if o.inTime() {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

func lostOf(list []outcome) int {
	n := 0
	for _, o := range list {
		if o.lost {
			n++
		}
	}
	return n
}

// offBy is the median of actual times over predicted ones.
func offBy(list []outcome) float64 {
	var ratios []float64
	for _, o := range list {
		if !o.refused && !o.lost && o.predicted > 0 && o.first > 0 {
			ratios = append(ratios, float64(o.first)/float64(o.predicted))
		}
	}
	if len(ratios) == 0 {
		return math.NaN()
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].n < e[j].n
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// tellCaches has each VM learn what the engines say that they hold.
func (r *replay) tellCaches() {
	for _, id := range r.names() {
		var parts []prompt.Part
		for _, part := range slices.Sorted(maps.Keys(r.engines[id].held)) {
			parts = append(parts, prompt.Part{ID: part, Tokens: 6000})
		}
		for _, vm := range r.vms {
			vm.planner.RecordCachedParts(vm.dir.Snapshot().Endpoint(id), parts)
		}
	}
}
