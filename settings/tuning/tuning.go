// Package tuning converts values of the settings tree to the configurations of the packages that
// use them. A test checks that the built-in values of the tree equal the defaults of those
// packages.
package tuning

import (
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/settings"
)

// Health returns the configuration of endpoint ejection.
func Health(e settings.Ejection) health.Config {
	c := health.DefaultConfig()
	c.ConsecutiveFailures = e.Failures
	c.ConsecutiveSilent = e.Unresponsive
	c.MinRate = e.FailureRate
	c.BaseEjection = e.Time
	c.MaxEjection = e.TimeLimit
	c.MaxFraction = e.Share
	return c
}

// RetryLimits returns the retry budget.
func RetryLimits(r settings.Retry) retry.Limits {
	l := retry.DefaultLimits
	l.Ratio = r.Budget
	l.FloorPerSecond = r.Floor
	l.Burst = float64(r.Burst)
	return l
}

// Backoff returns the delays before retries.
func Backoff(r settings.Retry) retry.Backoff {
	b := retry.DefaultBackoff
	b.Base = r.Backoff
	b.Max = r.BackoffLimit
	return b
}

// Admission returns the limits and class weights of the queue.
func Admission(q settings.Queues) admission.Config {
	c := admission.DefaultConfig()
	c.MaxQueue = q.Limit
	c.MaxPerOrganisation = q.OrganisationLimit
	c.MaxWait = q.TimeLimit
	c.ClassWeights = [3]float64{engine.Interactive: q.Interactive, engine.Standard: q.Standard, engine.Batch: q.Batch}
	return c
}

// Organisation returns the limits of an organisation over all entries.
func Organisation(o settings.Organisation) admission.OrganisationLimit {
	return admission.OrganisationLimit{TokensPerSecond: o.TokenRate, Concurrent: o.Concurrency}
}

// Spill returns the conditions under which requests are sent to other zones.
func Spill(s settings.Spill) routing.SpillConfig {
	c := routing.DefaultSpill()
	c.Enabled = s.Enabled
	c.MaxAge = s.AgeLimit
	c.Margin = s.Margin
	return c
}

// Deadlines returns the default deadlines by priority class.
func Deadlines(d settings.Deadlines) map[engine.Priority]time.Duration {
	return map[engine.Priority]time.Duration{
		engine.Interactive: d.Interactive,
		engine.Standard:    d.Standard,
		engine.Batch:       d.Batch,
	}
}

// Priority returns the priority class with the given name in the tree: interactive, standard or
// batch.
func Priority(name string) engine.Priority {
	switch name {
	case "interactive":
		return engine.Interactive
	case "batch":
		return engine.Batch
	}
	return engine.Standard
}

// Engine returns the cost model of the pool's engines.
func Engine(r settings.Roles) costs.Engine {
	e := costs.Defaults()
	e.PrefillRate = r.PrefillRate
	e.StepBase = r.DecodeStep
	e.StepPerSequence = r.DecodeStepSequence
	e.MaxBatch = r.BatchLimit
	return e
}

// Roles returns the settings of the role planner.
func Roles(r settings.Roles) roles.Settings {
	s := roles.Defaults(roles.Weights{Goodput: r.GoodputWeight, Change: r.ChangeWeight})
	s.Costs = Engine(r)
	s.ChangeTime = r.ChangeTime
	s.MinimumStay = r.MinimumStay
	s.BudgetBurst = r.ChangeBurst
	s.BudgetInterval = time.Duration(float64(time.Second) / r.ChangeBudget)
	s.MaxUnavailable = r.MaxUnavailable
	s.FloorPrefill = r.FloorPrefill
	s.FloorDecode = r.FloorDecode
	s.MaxReportAge = r.ReportAgeLimit
	return s
}
