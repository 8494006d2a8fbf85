package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o)
	if err != nil || !validOrder(o) {
		writeRefusal(w, http.StatusBadRequest, engine.Refusal{
			Reason:  failure.BadRequest,
			Message: "order cannot be understood",
			NotRun:  true,
		})
		return
	}
	state, err := s.accept(o)
	if s.waitWhileFrozen(r.Context()) != nil {
		return
	}
	if err != nil {
		writeRefusal(w, http.StatusConflict, engine.RefusalOf(err))
		return
	}
	s.wakeLoop()
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode(state))
}

func validOrder(o engine.Order) bool {
	switch o.Kind {
	case engine.ChangeRole:
		return o.ID != "" && slices.Contains([]engine.Role{engine.Prefill, engine.Decode, engine.Mixed}, o.Role)
	case engine.LoadOrder, engine.Unload:
		return o.ID != "" && o.Artifact != nil && o.Artifact.Model != ""
	}
	return false
}

// accept records the order and starts it. For a repeated order it returns the current state.
func (s *Server) accept(o engine.Order) (engine.OrderState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashAt(enginemodel.CrashBeforeAccept)
	if s.crashed {
		return engine.OrderState{}, nil
	}
	begin, err := s.orderBook.Accept(o)
	s.orders = append(s.orders, OrderRecord{Order: o, At: s.now(), Refused: reasonOrNone(err)})
	if err != nil {
		klog.Infof("engine: refuse order %s: %v", o.ID, err)
		return engine.OrderState{}, err
	}
	if !begin {
		return *s.orderBook.State(), nil
	}
	change := s.modelOrder(o)
	// The order book runs one order at a time, so the model can't refuse.
	if err := s.model.BeginOrder(s.now(), change); err != nil {
		return engine.OrderState{}, err
	}
	if change.Cut {
		clear(s.exports)
	}
	klog.Infof("engine: begin order %s: %s", o.ID, o.Kind)
	s.scheduleMidwayCrash(change.Duration)
	s.crashAt(enginemodel.CrashAfterAccept)
	return *s.orderBook.State(), nil
}

func reasonOrNone(err error) failure.Reason {
	if err == nil {
		return ""
	}
	return failure.ReasonOf(err)
}

// modelOrder returns the duration and effect of the order: changing the role or a base model
// interrupts all responses, an adapter only delays them.
func (s *Server) modelOrder(o engine.Order) enginemodel.Order {
	p := s.opts.Params
	switch {
	case o.Kind == engine.ChangeRole:
		return enginemodel.Order{Duration: p.RoleChange, Role: o.Role, Cut: true}
	case o.Artifact.Adapter != "":
		return enginemodel.Order{Duration: p.LoadAdapter}
	default:
		return enginemodel.Order{Duration: p.LoadModel, Cut: true}
	}
}

// orderDone applies the completed order to the reported state. The caller holds mu.
func (s *Server) orderDone() {
	o := s.orderBook.Current()
	if o.Kind == engine.LoadOrder && s.opts.BadVersion != "" && o.Artifact.Version == s.opts.BadVersion {
		s.orderBook.Fail("weights cannot be loaded")
		klog.Infof("engine: order %s failed", o.ID)
		return
	}
	switch o.Kind {
	case engine.LoadOrder:
		s.loaded = append(s.loadedWithout(*o.Artifact), *o.Artifact)
	case engine.Unload:
		s.loaded = s.loadedWithout(*o.Artifact)
	}
	s.crashAt(enginemodel.CrashAtEnd)
	s.orderBook.Finish()
	klog.Infof("engine: order %s done", o.ID)
}

func (s *Server) loadedWithout(a weightstore.Artifact) []weightstore.Artifact {
	return slices.DeleteFunc(slices.Clone(s.loaded), func(l weightstore.Artifact) bool { return l == a })
}

// crashAt crashes the engine if p is the configured crash point and it has not crashed yet.
// The caller holds mu.
func (s *Server) crashAt(p enginemodel.CrashPoint) {
	if s.opts.CrashInOrder == p && !s.crashed {
		s.crash(p)
	}
}

func (s *Server) scheduleMidwayCrash(order time.Duration) {
	if s.opts.CrashInOrder != enginemodel.CrashMidway {
		return
	}
	time.AfterFunc(s.realDuration(order/2), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.crashAt(enginemodel.CrashMidway)
	})
}
