package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/springweir/springweir/table"
)

// Claim is the right to dispatch one call once. It ends with exactly one of Finish (the call ran),
// Release (the call provably did not run) or nothing at all (the call may have run; repeats get
// ClaimInProgress or ClaimUnknown). It belongs to one goroutine.
type Claim struct {
	store   *Store
	key     Key
	version table.Version
	digest  Digest
}

// Finish stores the call's response for repeats. It waits at most cfg.FinishTimeout for the table
// and the object store. After that the write continues in the background; until it has succeeded,
// repeats get ClaimInProgress or ClaimUnknown.
func (c *Claim) Finish(ctx context.Context, resp Response) {
	s := c.store
	rec := c.record(done)
	c.writeOrDefer(ctx, func(ctx context.Context) error {
		if err := s.storeResponse(ctx, &rec, resp); err != nil {
			return err
		}
		_, err := s.write(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// FinishWithoutResponse records that the call ran without storing its response.
func (c *Claim) FinishWithoutResponse(ctx context.Context) {
	rec := c.record(done)
	c.writeOrDefer(ctx, func(ctx context.Context) error {
		_, err := c.store.write(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// Release gives up the claim after a call that provably did not run, so that a repeat may run it.
// The row is overwritten, not deleted: see Store.write.
func (c *Claim) Release(ctx context.Context) {
	rec := c.releasedRecord()
	c.writeOrDefer(ctx, func(ctx context.Context) error {
		_, err := c.store.write(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// writeOrDefer runs write and, if the store is unavailable or does not respond within
// cfg.FinishTimeout, retries it in the background. The record is built once by the caller, so that
// every retry is the same write. The write ignores the cancellation of ctx, since the claim
// outlives the request.
func (c *Claim) writeOrDefer(ctx context.Context, write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.store.cfg.FinishTimeout)
	defer cancel()
	if err := write(ctx); unreachable(err) {
		c.store.runInBackground(write)
	}
}

func (c *Claim) record(st state) record {
	return record{Write: newWriteID(), State: st, Owner: c.store.cfg.Owner, Digest: c.digest, At: millis(time.Now())}
}

func (c *Claim) releasedRecord() record { return c.record(released) }

// storeResponse puts the response into rec, or into the object store if it exceeds MaxInline. A
// response over MaxObject is dropped; the record then holds only the state done.
func (s *Store) storeResponse(ctx context.Context, rec *record, resp Response) error {
	encoded := resp.encode()
	if len(encoded) <= s.cfg.MaxInline {
		rec.Response = &resp
		return nil
	}
	if s.cfg.Objects == nil || len(encoded) > s.cfg.MaxObject {
		return nil
	}
	sum := sha256.Sum256(encoded)
	name := "claim/" + hex.EncodeToString(sum[:])
	if err := s.cfg.Objects.Put(ctx, name, encoded); err != nil {
		return &table.UnavailableError{Cause: err}
	}
	rec.Object = name
	return nil
}
