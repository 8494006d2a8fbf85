package routing

import (
	"math"
	"testing"
	"time"

	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
)

func TestFilters(t *testing.T) {
	ejected := health.Status{Phase: health.Ejected, Until: now + 1}
	r := &Request{PromptTokens: 60, OutputTokens: 40, Now: now, Tried: []string{"e1"}}
	notRepeatable := &Request{Now: now, NoTrial: true}
	if (Healthy{}).Accept(&fleet.Endpoint{Health: health.Status{Phase: health.Ejected, Until: now}}, notRepeatable) {
		t.Error("a call that must not be repeated was accepted as a trial")
	}
	tests := []struct {
		filter Filter
		e      fleet.Endpoint
		want   bool
	}{
		{Untried{}, fleet.Endpoint{Spec: fleet.Spec{Name: "e1"}}, false},
		{Untried{}, fleet.Endpoint{Spec: fleet.Spec{Name: "e2"}}, true},
		{Healthy{}, fleet.Endpoint{}, true},
		{Healthy{}, fleet.Endpoint{Health: ejected}, false},
		{Healthy{}, fleet.Endpoint{Health: health.Status{Phase: health.Trial, Until: now + 1}}, false},
		{Healthy{}, fleet.Endpoint{Health: health.Status{Phase: health.Ejected, Until: now}}, true},
		{Fits{}, fleet.Endpoint{Load: engine.Load{KVTotal: 99}}, false},
		{Fits{}, fleet.Endpoint{Load: engine.Load{KVTotal: 100}}, true},
		{Fits{}, fleet.Endpoint{}, true},
	}
	for i, test := range tests {
		if got := test.filter.Accept(&test.e, r); got != test.want {
			t.Errorf("%d, %s: got %v", i, test.filter.Name(), got)
		}
	}
}

func TestScorers(t *testing.T) {
	costs := Costs{Engine: costs.Engine{PrefillRate: 1000, StepPerSequence: time.Millisecond, StepPerContext: 1000, MaxBatch: 8}}
	r := &Request{PromptTokens: 1000}
	e := Estimate{Load: EstimatedLoad{Requests: 4}, CachedTokens: 500, Queue: time.Second, Prefill: 2 * time.Second, Transfer: 3 * time.Second, PerToken: 100 * time.Millisecond, OutputSteps: 11}
	stage := func(p Stage) Estimate {
		half := e
		half.Stage = p
		return half
	}
	full := e
	full.Load.Requests = 100
	tests := []struct {
		name   string
		scorer Scorer
		e      Estimate
		want   float64
	}{
		{"queue, prefill, transfer and a step", TimeToFirstToken{}, e, 6.1},
		{"the other steps", DecodeTime{}, e, 1},
		{"4 wait for 500 tokens and 11 longer steps", Interference{}, e, 4*0.5 + 4*0.002*11},
		{"prefill stage", Interference{}, stage(PrefillStage), 4 * 0.5},
		{"decode stage", Interference{}, stage(DecodeStage), 4 * 0.002 * 11},
		{"bounded by the batch size", Interference{}, full, 8*0.5 + 8*0.002*11},
	}
	for _, test := range tests {
		if got := test.scorer.Score(&costs, &test.e, r); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s, %s: got %v, want %v", test.scorer.Name(), test.name, got, test.want)
		}
	}
}

func TestLoadFromReport(t *testing.T) {
	costs := Costs{PeerWorkFactor: 0.5}
	inFlight := fleet.Work{Requests: 4, PromptTokens: 100, ContextTokens: 200}
	unreported := fleet.Work{Requests: 2, PromptTokens: 50, ContextTokens: 100}
	e := fleet.Endpoint{
		Load:      engine.Load{Waiting: 1, Running: 2, WaitingTokens: 10, DecodeTokens: 20, KVUsed: 30, KVTotal: 400},
		LocalWork: fleet.LocalWork{InFlight: inFlight, Unreported: unreported},
	}
	tests := []struct {
		name     string
		entryVMs int
		want     EstimatedLoad
	}{
		{"alone", 1, EstimatedLoad{5, 60, 120, 130, 400}},
		{"three entry VMs", 3, EstimatedLoad{7, 110, 220, 230, 400}},
		{"peers are bounded", 100, EstimatedLoad{13, 260, 520, 530, 400}},
	}
	for _, test := range tests {
		equal(t, test.name, test.want, costs.loadFromReport(&e, test.entryVMs))
	}
}
