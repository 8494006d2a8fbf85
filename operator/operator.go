// Package operator implements the operator API, which every controller serves, and the client that
// springweirctl uses to call it.
//
// Writes carry a write id that the client chooses, which makes them idempotent: a write whose
// response was lost can be repeated at any controller without a second effect.
package operator

import (
	"context"

	pb "github.com/springweir/springweir/operator/operatorpb"
)

// ConfigStore is the history of configuration versions. Implementations are safe for concurrent
// use. Errors carry a failure.Reason; errors of the platform are returned with theirs.
type ConfigStore interface {
	// Head returns the newest version, zero before the first.
	Head(ctx context.Context) (uint64, error)
	// Load reads a version with its text. The error is *NoSuchVersionError if the version is not
	// in the history.
	Load(ctx context.Context, version uint64) (*pb.Config, error)
	// Put commits the edit as the version after its base and returns that version. A repeat with
	// the same write id and base returns the version that the first attempt committed. The error
	// is *ConflictError if another edit was committed on the base first.
	Put(ctx context.Context, edit *pb.PutConfigRequest) (uint64, error)
	// State returns the rollout state of a version. The error is *NoSuchVersionError if the version
	// is not in the history.
	State(ctx context.Context, version uint64) (*pb.ConfigState, error)
	// History lists up to limit versions after the given one, oldest first, without their texts.
	History(ctx context.Context, after uint64, limit int) ([]*pb.Config, error)
}

// Fleet reports the state of VMs, endpoints and leases as recorded by this controller. Parts that
// can't be read are listed in the response's unavailable field and don't fail the call.
type Fleet interface {
	Status(ctx context.Context) (*pb.FleetStatus, error)
}
