package leaving

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/membership"
)

// listTimeout bounds one read of the list, so that a read that hangs and the next one stay within
// MaxStopDelay together.
const listTimeout = time.Second

// WatchList reads the membership list into the set until ctx ends.
func (s *Set) WatchList(ctx context.Context, list membership.List) {
	for ctx.Err() == nil {
		started := clock.Now()
		s.readList(ctx, list)
		loop.Sleep(ctx, ListPollInterval-clock.Since(started))
	}
}

func (s *Set) readList(ctx context.Context, list membership.List) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := list.VMs(ctx)
	if err != nil {
		klog.V(1).Infof("leaving: membership list not read: %v", err)
		return
	}
	s.SetList(vms)
}
