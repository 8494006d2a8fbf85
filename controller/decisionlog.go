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

// maxDecisions is the number of decisions shown to operators.
const maxDecisions = 32

// decisionLog records the latest decisions of this controller's role planners. It is safe for
// concurrent use; no other lock is acquired while mu is held.
type decisionLog struct {
	mu      sync.Mutex
	records []decisionRecord
}

// decisionRecord is a decision and its time.
type decisionRecord struct {
	at       time.Time
	decision *pb.Decision
}

func newDecisionLog() *decisionLog { return &decisionLog{} }

// add records a role planner's decision, of which accepted changes were accepted by the executor. A
// decision without accepted changes replaces the pool's previous one without any.
func (d *decisionLog) add(pool, zone string, decision roles.Decision, accepted int) {
	out := &pb.Decision{Pool: pool, Zone: zone, Reason: string(decision.Reason), Taken: accepted > 0}
	var actions []string
	for _, c := range decision.Changes {
		actions = append(actions, c.Engine+": role "+string(c.From)+" -> "+string(c.To))
	}
	out.Action = strings.Join(actions, ", ")
	d.mu.Lock()
	defer d.mu.Unlock()
	if accepted == 0 {
		d.records = slices.DeleteFunc(d.records, func(old decisionRecord) bool {
			return old.decision.Pool == pool && !old.decision.Taken
		})
	}
	d.records = append(d.records, decisionRecord{at: clock.Now(), decision: out})
	if len(d.records) > maxDecisions {
		d.records = slices.Clone(d.records[len(d.records)-maxDecisions:])
	}
}

// list returns the recorded decisions, newest first.
func (d *decisionLog) list() []*pb.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*pb.Decision
	for _, k := range slices.Backward(d.records) {
		k.decision.AgeMs = clock.Since(k.at).Milliseconds()
		list = append(list, &pb.Decision{
			Pool: k.decision.Pool, Zone: k.decision.Zone, Action: k.decision.Action,
			Taken: k.decision.Taken, Reason: k.decision.Reason, AgeMs: k.decision.AgeMs,
		})
	}
	return list
}
