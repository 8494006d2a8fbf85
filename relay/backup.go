package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/routes"
)

// A stream that must not be run again is lost with its engine, unless another engine holds a copy of
// the run: what the first one holds of it is sent there as it grows. The run then goes on there, from
// the last event that the caller holds. That is the same run, so that it costs no attempt and no retry.

// copyLost counts runs whose copy could not be gone on from, and copyUsed those that went on.
var (
	copyUsed = metrics.NewCounter(`springweir_relay_backups_total{outcome="used"}`)
	copyLost = metrics.NewCounter(`springweir_relay_backups_total{outcome="lost"}`)
)

// backupGaps is how many of the longest pauses in time an engine may stay silent in the middle of a
// stream before the run goes on at its backup. An engine that is only busy is not given up for it.
const backupGaps = 4

// goOn makes the next attempt go on from the run's copy, if there may be one. It tells whether it does.
func (j *job) goOn(ctx context.Context, failed *failure.Request) bool {
	backup := j.backup
	j.backup = nil
	switch {
	case backup == nil || ctx.Err() != nil || failed.Code == failure.CallerGone:
		return false
	case failed.Ran != failure.Unknown || j.result.Events == 0:
		return false // nothing was made that a copy could hold
	}
	j.copied = &KVHandle{Endpoint: backup, ID: j.req.ID}
	klog.InfoS("relay: stream goes on at its backup", "request", j.req.ID, "endpoint", j.result.Endpoint, "backup", backup.ID,
		"heldEvents", j.held, "reason", failed.Code)
	return true
}

// resumed counts how an attempt ended that went on from a copy.
func (j *job) resumed(failed *failure.Request) {
	if failed != nil && failed.Ran == failure.NotRun {
		copyLost.Inc()
		return
	}
	copyUsed.Inc()
}

// backupStall is how long an attempt with a backup may stay silent before its first event: there is
// nothing to go on from yet, so that only the deadline bounds it.
func (j *job) backupStall() time.Duration {
	if j.req.Deadline.IsZero() || j.req.Route.Kind != routes.Stream {
		return 0
	}
	return max(time.Millisecond, clock.Until(j.req.Deadline))
}
