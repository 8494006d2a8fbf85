package controller

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/roles"
)

// keptDecisions is how many decisions are shown to operators.
const keptDecisions = 32

// decisions keeps the last decisions of this controller's planners. It is safe
// for concurrent use; mu is a leaf.
type decisions struct {
	mu   sync.Mutex
	kept []decided
}

type decided struct {
	at       time.Time
	decision *pb.Decision
}

func newDecisions() *decisions { return &decisions{} }

// note keeps a role planner's decision. One without a change replaces the
// pool's last one without a change.
func (d *decisions) note(pool, zone string, decision roles.Decision, made int) {
	out := &pb.Decision{Pool: pool, Zone: zone, Reason: string(decision.Reason), Taken: made > 0}
	var actions []string
	for _, c := range decision.Changes {
		actions = append(actions, c.Engine+": role "+string(c.From)+" -> "+string(c.To))
	}
	out.Action = strings.Join(actions, ", ")
	d.mu.Lock()
	defer d.mu.Unlock()
	if made == 0 {
		d.kept = slices.DeleteFunc(d.kept, func(old decided) bool {
			return old.decision.Pool == pool && !old.decision.Taken
		})
	}
	d.kept = append(d.kept, decided{at: clock.Now(), decision: out})
	if len(d.kept) > keptDecisions {
		d.kept = slices.Clone(d.kept[len(d.kept)-keptDecisions:])
	}
}

// list returns the decisions, newest first.
func (d *decisions) list() []*pb.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*pb.Decision
	for _, k := range slices.Backward(d.kept) {
		k.decision.AgeMs = clock.Since(k.at).Milliseconds()
		list = append(list, &pb.Decision{
			Pool: k.decision.Pool, Zone: k.decision.Zone, Action: k.decision.Action,
			Taken: k.decision.Taken, Reason: k.decision.Reason, AgeMs: k.decision.AgeMs,
		})
	}
	return list
}
