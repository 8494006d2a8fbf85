package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
)

// Exchanger keeps an entry in contact with its zone: it pulls from the peers in turn.
type Exchanger struct {
	member *contact.Member
	syncer *rollout.Syncer
	client *Client
	seeds  []string
}

// NewExchanger returns the exchanger of an entry. seeds are the addresses of peers to
// contact while the entry has no roster.
func NewExchanger(m *contact.Member, s *rollout.Syncer, c *Client, seeds []string) *Exchanger {
	return &Exchanger{member: m, syncer: s, client: c, seeds: seeds}
}

// minFailurePause is the pause after a failed exchange. It doubles with each consecutive
// failure, up to the pull interval.
const minFailurePause = 100 * time.Millisecond

// Run exchanges until ctx ends. After a failure it contacts the next peer sooner, so that
// one or two dead peers do not make the entry lose its permission to serve.
func (x *Exchanger) Run(ctx context.Context) {
	retry := minFailurePause
	for turn := 0; ctx.Err() == nil; turn++ {
		pause := share.PullInterval(len(x.member.Roster().VMs))
		retry = min(2*retry, pause)
		if x.pull(ctx, turn) {
			retry = minFailurePause / 2
		} else {
			pause = retry
		}
		jittered := pause*9/10 + rand.N(pause/5)
		loop.Sleep(ctx, jittered)
	}
}

// pull exchanges with the next peer in turn and reports whether that succeeded.
func (x *Exchanger) pull(ctx context.Context, turn int) bool {
	vm, ok := x.partner(turn)
	if !ok {
		return true
	}
	err := x.syncer.SyncPeer(ctx, vm)
	if err != nil {
		klog.V(1).Infof("peer: exchange with %s failed: %v", vm.Address, err)
	}
	return err == nil
}

// partner returns the next peer: from the roster, or from the seeds if the VM is on no
// roster.
func (x *Exchanger) partner(turn int) (contact.VM, bool) {
	vm, ok := share.Partner(x.member.Roster(), x.member.Name(), turn)
	if ok || len(x.seeds) == 0 {
		return vm, ok
	}
	return contact.VM{Address: x.seeds[turn%len(x.seeds)]}, true
}

// AnnounceLeaving informs all entries of the zone that an endpoint reported that it is
// leaving. The entry that polls the endpoint calls it once, when leaving.Set.Record reports
// a change. An entry that misses the announcement gets the state from the shared reports.
func (x *Exchanger) AnnounceLeaving(ctx context.Context, endpoint, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, leaving.MaxStopDelay)
	defer cancel()
	others := x.member.Roster().Except(x.member.Name())
	contact.Collect(ctx, others, func(ctx context.Context, vm contact.VM) (contact.Ack, error) {
		return contact.Ack{}, x.client.NoteLeaving(ctx, vm, endpoint, incarnation)
	})
}
