package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// equal fails the test if got differs from want.
func equal(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

const second = time.Second

func trackerOf(n int) *Tracker {
	t := NewTracker(DefaultConfig())
	for i := range n {
		t.Set(fmt.Sprint("e", i), "i", []string{"g"})
	}
	return t
}

// send sends n requests one after the other and returns the number that were admitted.
func send(t *Tracker, now time.Duration, name string, n int, result Result) int {
	sent := 0
	for range n {
		ticket, ok := t.Begin(now, name)
		if ok {
			sent++
			t.End(now, ticket, result)
		}
	}
	return sent
}

func TestEjection(t *testing.T) {
	tests := []struct {
		name string
		do   func(*Tracker)
		want Status
	}{
		{"four failures", func(k *Tracker) { send(k, 0, "e0", 4, Failed) }, Status{}},
		{"five failures", func(k *Tracker) { send(k, 0, "e0", 5, Failed) }, Status{Ejected, 2 * second}},
		{"failures interrupted", func(k *Tracker) {
			send(k, 0, "e0", 4, Failed)
			send(k, 0, "e0", 1, Succeeded)
			send(k, 0, "e0", 4, Failed)
		}, Status{}},
		{"abandoned requests are ignored", func(k *Tracker) {
			send(k, 0, "e0", 4, Failed)
			send(k, 0, "e0", 9, Abandoned)
		}, Status{}},
		{"frozen", func(k *Tracker) { send(k, 0, "e0", 2, Unresponsive) }, Status{Ejected, 2 * second}},
		{"slow but alive", func(k *Tracker) {
			for range 4 {
				send(k, 0, "e0", 1, Unresponsive)
				ticket, _ := k.Begin(0, "e0")
				k.RecordActivity(ticket)
			}
		}, Status{}},
		{"rate above its peers", func(k *Tracker) {
			for range 8 {
				send(k, 0, "e0", 1, Failed)
				send(k, 0, "e0", 1, Succeeded)
				send(k, 0, "e1", 2, Succeeded)
			}
		}, Status{Ejected, 2 * second}},
		{"all fail at the same rate", func(k *Tracker) {
			for range 20 {
				for _, name := range []string{"e0", "e1", "e2", "e3"} {
					send(k, 0, name, 1, Succeeded)
					send(k, 0, name, 1, Failed)
				}
			}
		}, Status{}},
		{"old failures expire", func(k *Tracker) {
			for i := range 8 {
				send(k, time.Duration(i)*10*second, "e0", 1, Failed)
				send(k, time.Duration(i)*10*second, "e0", 1, Succeeded)
			}
		}, Status{}},
		{"result of an earlier incarnation", func(k *Tracker) {
			old, _ := k.Begin(0, "e0")
			send(k, 0, "e0", 4, Failed)
			k.Set("e0", "j", []string{"g"})
			k.End(0, old, Failed)
			send(k, 0, "e0", 4, Failed)
		}, Status{}},
		{"new incarnation starts healthy", func(k *Tracker) {
			send(k, 0, "e0", 5, Failed)
			k.Set("e0", "j", []string{"g"})
		}, Status{}},
		{"same incarnation in another group stays ejected", func(k *Tracker) {
			k.Set("e9", "i", []string{"h"})
			send(k, 0, "e0", 5, Failed)
			k.Set("e0", "i", []string{"g", "h"})
		}, Status{Ejected, 2 * second}},
		{"last member of another group", func(k *Tracker) {
			send(k, 0, "e0", 5, Failed)
			k.Set("e0", "i", []string{"g", "h"})
		}, Status{}},
		{"its peers leave", func(k *Tracker) {
			send(k, 0, "e0", 5, Failed)
			k.Remove("e1")
			k.Remove("e2")
			k.Remove("e3")
		}, Status{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := trackerOf(4)
			test.do(k)
			equal(t, "", test.want, k.Status("e0"))
		})
	}
}

// TestTrials follows one endpoint through several half-open trials.
func TestTrials(t *testing.T) {
	k := trackerOf(2)
	send(k, 0, "e0", 5, Failed)
	if _, ok := k.Begin(second, "e0"); ok {
		t.Fatal("a request was admitted to an ejected endpoint")
	}
	first, ok := k.Begin(2*second, "e0")
	if !ok || !first.Trial() {
		t.Fatal("no trial after the ejection")
	}
	if _, ok := k.Begin(3*second, "e0"); ok {
		t.Fatal("two trials at the same time")
	}
	k.End(3*second, first, Failed)
	equal(t, "after a failed trial", Status{Ejected, 7 * second}, k.Status("e0"))
	second1, _ := k.Begin(7*second, "e0")
	k.End(8*second, second1, Abandoned)
	third, ok := k.Begin(8*second, "e0")
	if !ok {
		t.Fatal("an abandoned trial blocks the next")
	}
	fourth, ok := k.Begin(23*second, "e0")
	if !ok {
		t.Fatal("a trial without result blocks the next")
	}
	k.End(23*second, third, Succeeded)
	if k.Status("e0").Phase != Trial {
		t.Error("the late result of an abandoned trial was counted")
	}
	k.End(24*second, fourth, Succeeded)
	equal(t, "after a good trial", Status{}, k.Status("e0"))
	send(k, 25*second, "e0", 5, Failed)
	equal(t, "soon after", Status{Ejected, 33 * second}, k.Status("e0"))
	again, _ := k.Begin(33*second, "e0")
	k.End(33*second, again, Succeeded)
	send(k, 400*second, "e0", 5, Failed)
	equal(t, "long after", Status{Ejected, 402 * second}, k.Status("e0"))
}

// TestChangesMirrorStatus checks that a copy maintained from TakeChanges alone always equals the
// status, also when a call for one endpoint changes another.
func TestChangesMirrorStatus(t *testing.T) {
	k := trackerOf(3)
	mirror := make(map[string]Status)
	steps := []func(){
		func() { send(k, 0, "e0", 5, Failed) },
		func() { k.Begin(2*second, "e0") },
		func() { send(k, 17*second, "e0", 1, Failed) },
		func() { k.Remove("e1"); k.Remove("e2") },
	}
	var phases []Phase
	for _, step := range steps {
		step()
		for _, c := range k.TakeChanges() {
			mirror[c.Endpoint] = c.Status
		}
		equal(t, "", k.Status("e0"), mirror["e0"])
		phases = append(phases, mirror["e0"].Phase)
	}
	equal(t, "", []Phase{Ejected, Trial, Ejected, Healthy}, phases)
}

func TestEjectionIsBoundedByGroupSize(t *testing.T) {
	for size, want := range map[int]int{1: 0, 2: 1, 3: 1, 6: 2, 12: 4} {
		k := trackerOf(size)
		out := 0
		for i := range size {
			send(k, 0, fmt.Sprint("e", i), 20, Failed)
			if k.Status(fmt.Sprint("e", i)).Phase != Healthy {
				out++
			}
		}
		if out != want {
			t.Errorf("group of %d: %d were ejected, want %d", size, out, want)
		}
	}
}

// TestInvariants performs random operations and checks the invariants after each.
func TestInvariants(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 3))
		k := trackerOf(0)
		ejections := 0
		for i := range 2000 {
			now := time.Duration(i) * 50 * time.Millisecond
			name := fmt.Sprint("e", random.IntN(8))
			switch random.IntN(40) {
			case 0:
				k.Remove(name)
			case 1, 2:
				k.Set(name, fmt.Sprint(random.IntN(2)), [][]string{{"g"}, {"g", "h"}, {"h"}}[random.IntN(3)])
			default:
				before := k.Status(name).Phase
				send(k, now, name, 1, Result(random.IntN(4)))
				if before == Healthy && k.Status(name).Phase == Ejected {
					ejections++
				}
			}
			for g, members := range k.groups {
				if out := k.unavailable(members); out > k.maxUnavailable(len(members)) || out == len(members) {
					t.Fatalf("seed %d, step %d: %d of %d in %s are unavailable", seed, i, out, len(members), g)
				}
			}
		}
		if ejections == 0 {
			t.Errorf("seed %d: nothing was ever ejected", seed)
		}
	}
}
