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

// A stream that must not be rerun is lost with its engine, unless a backup engine holds a copy of
// the run's state, which the serving engine replicates to it incrementally. The run then resumes on
// the backup after the last event that the caller received. Because it is the same run, resuming it
// counts neither as an attempt nor as a retry.

// backupsUsed counts runs that resumed on their backup, and backupsLost those that could not.
var (
	backupsUsed = metrics.NewCounter(`springweir_relay_backups_total{outcome="used"}`)
	backupsLost = metrics.NewCounter(`springweir_relay_backups_total{outcome="lost"}`)
)

// backupGapFactor is the multiple of the route's EventGap that may pass between two events before
// the run resumes on its backup. It tolerates an engine that is merely busy.
const backupGapFactor = 4

// resumeFromBackup makes the next attempt resume the run on its backup, if the backup may hold a
// copy, and reports whether it does.
func (j *job) resumeFromBackup(ctx context.Context, failed *failure.Request) bool {
	backup := j.backup
	j.backup = nil
	switch {
	case backup == nil || ctx.Err() != nil || failed.Code == failure.CallerGone:
		return false
	case failed.Ran != failure.Unknown || j.result.Events == 0:
		return false // no state was produced that a backup could hold
	}
	j.resumeHandle = &KVHandle{Endpoint: backup, ID: j.req.ID}
	klog.InfoS("relay: stream resumes on its backup", "request", j.req.ID, "endpoint", j.result.Endpoint, "backup", backup.ID,
		"heldEvents", j.lastEventID, "reason", failed.Code)
	return true
}

// countResume counts the outcome of an attempt that resumed a run on its backup.
func (j *job) countResume(failed *failure.Request) {
	if failed != nil && failed.Ran == failure.NotRun {
		backupsLost.Inc()
		return
	}
	backupsUsed.Inc()
}

// backupStallTimeout returns how long an attempt with a backup may take until its first event.
// There is no state to resume from before that event, so only the deadline bounds it. Zero means no
// timeout.
func (j *job) backupStallTimeout() time.Duration {
	if j.req.Deadline.IsZero() || j.req.Route.Kind != routes.Stream {
		return 0
	}
	return max(time.Millisecond, clock.Until(j.req.Deadline))
}
