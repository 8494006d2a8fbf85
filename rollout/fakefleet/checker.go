package fakefleet

import (
	"fmt"
	"sync"

	"github.com/springweir/springweir/rollout"
)

// Checker holds what must be true of a fleet at every moment: a VM that may
// serve has every accepted version in force, and no process goes back.
type Checker struct {
	mu              sync.Mutex
	highestAccepted rollout.Version
	active          map[string]rollout.Version
	violations      []string
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker { return &Checker{active: map[string]rollout.Version{}} }

// RecordAccepted notes that somebody was told that v is accepted.
func (c *Checker) RecordAccepted(v rollout.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestAccepted = max(c.highestAccepted, v)
}

// Highest returns the highest version that anybody was told is accepted.
func (c *Checker) Highest() rollout.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestAccepted
}

// Violations returns what was not as it must be.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// applied notes that a process put v in force.
func (c *Checker) recordApplied(process string, v rollout.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.active[process]; v <= old {
		c.violations = append(c.violations, fmt.Sprintf("%s went from version %d to %d", process, old, v))
	}
	c.active[process] = v
}

// Check looks at every VM. The permission is read last: a VM may refuse by
// then, but one that still serves must not be behind.
func (f *Fleet) Check() {
	highest := f.Checker.Highest()
	for _, name := range f.Names() {
		n := f.Nodes[name]
		v := n.Applier.Current().Version
		if v < highest && f.Allow(n) == nil {
			f.Checker.addViolation(fmt.Sprintf("%s serves version %d after %d was accepted", name, v, highest))
		}
	}
}

func (c *Checker) addViolation(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation)
}
