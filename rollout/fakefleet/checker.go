package fakefleet

import (
	"fmt"
	"sync"

	"github.com/springweir/springweir/rollout"
)

// Checker checks the invariants of a fleet: a VM that may serve has every accepted version in
// effect, and no process goes back to an older version.
type Checker struct {
	mu              sync.Mutex
	highestAccepted rollout.Version
	active          map[string]rollout.Version
	violations      []string
}

// NewChecker returns an empty checker.
func NewChecker() *Checker { return &Checker{active: map[string]rollout.Version{}} }

// RecordAccepted records that v was reported as accepted.
func (c *Checker) RecordAccepted(v rollout.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestAccepted = max(c.highestAccepted, v)
}

// Highest returns the highest version that was reported as accepted.
func (c *Checker) Highest() rollout.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestAccepted
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// recordApplied records that a process applied v.
func (c *Checker) recordApplied(process string, v rollout.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.active[process]; v <= old {
		c.violations = append(c.violations, fmt.Sprintf("%s went back from version %d to %d", process, old, v))
	}
	c.active[process] = v
}

// Check checks every VM. It reads the permission last: a VM that stopped serving in between is
// fine, but one that still serves must have the highest accepted version.
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
