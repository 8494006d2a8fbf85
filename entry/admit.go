package entry

import (
	"context"
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/routing"
)

// serviceQueuePrefix starts the names of the admission queues of plain services.
const serviceQueuePrefix = "service "

// admitter connects package admission to package forward.
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
		a.d.demand.recordArrival(w, a.d.cat.requiredArtifact(w), a.d.store.Snapshot())
		work.OutputTokens = a.d.demand.expectedOutput(w)
	}
	if !w.Deadline.IsZero() {
		work.Deadline = w.Deadline.Sub(a.d.start)
	}
	grant, err := a.ctl.Admit(ctx, work)
	if err != nil {
		return nil, err
	}
	return func() {
		a.d.provisional.release(a.d.common, w.ID)
		grant.Release()
	}, nil
}

func queueName(w *forward.Work) string {
	if w.Service != "" {
		return serviceQueuePrefix + w.Service
	}
	return w.Model
}

func (a *admitter) weight(organisation string) float64 {
	org, _ := a.d.cat.organisation(organisation)
	return org.Weight
}

// predict implements admission.Predictor. A request that would be queued at an engine waits
// here instead, where fairness and priority decide which request is next. No request is
// ever reported as queueable: admitting requests without slack into the engines' queues
// makes all of them late under overload.
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

// commit implements admission.Commit. It reserves the work at the endpoint where it is
// expected to run, until the attempt makes its own reservation.
func (a *admitter) commit(now time.Duration, work *admission.Work, plan any) {
	decision := plan.(routing.Decision)
	if decision.Endpoint == nil {
		return
	}
	a.d.provisional.reserve(a.d.common, now, work.Context.(*forward.Work), decision)
}
