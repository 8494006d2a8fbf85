package order

import (
	"context"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/weightstore"
)

// Fencing is whether an engine refuses a stale fence.
type Fencing string

// Kinds of engine. An unset value counts as Ignored.
const (
	Checked Fencing = "checked"
	Ignored Fencing = "ignored"
)

// Target is an engine that can receive orders.
type Target struct {
	Name string
	// VM is the name of the engine's VM.
	VM      string
	Engine  engine.Engine
	Fencing Fencing
}

// Targets looks up engines by name. Implementations are safe for concurrent use.
type Targets interface {
	Target(name string) (Target, bool)
}

// Withholder stops the entry VMs of the zone from using an engine. Implementations are safe for
// concurrent use.
type Withholder interface {
	// Withhold returns nil once no entry VM of the zone can send to the engine or has a stream
	// on it, and none will until Restore is called with the same epoch or a higher one. It
	// waits for streams to finish, until ctx ends.
	Withhold(ctx context.Context, engineName string, epoch uint64) error
	// Restore lets the entry VMs use the engine again, unless it was withheld with a higher
	// epoch. It returns nil once all entry VMs have acknowledged it.
	Restore(ctx context.Context, engineName string, epoch uint64) error
}

// epochsPerFence is the number of epochs in one tenure. A later tenure's epochs are all higher,
// so a predecessor that resumes after a pause cannot restore an engine that its successor
// withholds.
const epochsPerFence = 1 << 24

// Change is a change of an engine requested by a planner.
type Change struct {
	Engine string
	Kind   engine.OrderKind
	// Role is the new role of a ChangeRole.
	Role engine.Role
	// Artifact is the artifact that a LoadOrder or an Unload refers to.
	Artifact *weightstore.Artifact
}
