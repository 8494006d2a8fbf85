package entry

import (
	"context"
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/routing"
)

// serviceQueue begins the names of the queues of plain services.
const serviceQueue = "service "

// admitter adapts package admission to package forward.
type admitter struct {
	d   *dispatcher
	ctl *admission.Controller
}

func newAdmitter(d *dispatcher, cfg admission.Config, limits *admission.Limits) *admitter {
	a := &admitter{d: d}
	a.ctl = admission.NewController(cfg, limits, a.predict, a.commit, d.now)
	return a
}

// Admit implements forward.Admitter.
func (a *admitter) Admit(ctx context.Context, w *forward.Work) (release func(), err error) {
	work := admission.Work{
		Model:        queueName(w),
		Organisation: w.Organisation,
		Weight:       a.weight(w.Organisation),
		Priority:     w.Priority,
		PromptTokens: w.PromptTokens,
		Context:      w,
	}
	if w.Service == "" {
		a.d.expected.arrived(w, a.d.cat.wanted(w), a.d.store.Snapshot())
		work.OutputTokens = a.d.expected.output(w)
	}
	if !w.Deadline.IsZero() {
		work.Deadline = w.Deadline.Sub(a.d.start)
	}
	grant, err := a.ctl.Admit(ctx, work)
	if err != nil {
		return nil, err
	}
	return func() {
		a.d.provisional.drop(a.d.common, w.ID)
		grant.Release()
	}, nil
}

func queueName(w *forward.Work) string {
	if w.Service != "" {
		return serviceQueue + w.Service
	}
	return w.Model
}

func (a *admitter) weight(organisation string) float64 {
	org, _ := a.d.cat.organisation(organisation)
	return org.Weight
}

// predict implements admission.Predictor. A request that would wait longer at an
// engine waits here, where fairness and priority decide who is next. None is ever
// queueable: letting those that can spare no more time into the engines' queues
// makes all of them late at an overload (docs/POLICY.md, round 9).
func (a *admitter) predict(now time.Duration, work *admission.Work) (admission.Prediction, error) {
	w := work.Context.(*forward.Work)
	decision, err := a.d.decide(now, w, forward.Attempt{Emitted: w.ResumeFrom})
	if err != nil {
		return admission.Prediction{}, err
	}
	return admission.Prediction{
		Ready:       decision.Zone != "" || w.Service != "" || decision.Queue <= admission.MaxReadyWait,
		ServiceTime: decision.Completion,
		Plan:        decision,
	}, nil
}

// commit implements admission.Commit: the work is reserved where it is
// expected to go, until the attempt itself reserves it.
func (a *admitter) commit(now time.Duration, work *admission.Work, plan any) {
	decision := plan.(routing.Decision)
	if decision.Endpoint == nil {
		return
	}
	a.d.provisional.make(a.d.common, now, work.Context.(*forward.Work), decision)
}
