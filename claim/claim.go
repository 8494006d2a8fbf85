package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/springweir/springweir/table"
)

// Claim is the right to dispatch one call once. It ends with exactly one of
// Finish (the call ran), Release (it provably did not) or nothing at all (it
// may have run; repeats are told so). It belongs to one goroutine.
type Claim struct {
	store   *Store
	key     Key
	version table.Version
	digest  Digest
}

// Finish keeps the call's answer for repeats. It waits at most cfg.FinishTimeout
// for the platform; after that the answer is kept in the background, and until
// it is, repeats are told that the call is in progress or unknown.
func (c *Claim) Finish(ctx context.Context, answer Response) {
	s := c.store
	rec := c.record(done)
	c.conclude(ctx, func(ctx context.Context) error {
		if err := s.keep(ctx, &rec, answer); err != nil {
			return err
		}
		_, err := s.settle(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// FinishWithoutResponse records that the call ran but that its answer is not kept.
func (c *Claim) FinishWithoutResponse(ctx context.Context) {
	rec := c.record(done)
	c.conclude(ctx, func(ctx context.Context) error {
		_, err := c.store.settle(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// Release gives the claim back after a call that provably did not run, so that
// a repeat may run it. The row is overwritten, not deleted: see settle.
func (c *Claim) Release(ctx context.Context) {
	rec := c.releasedRecord()
	c.conclude(ctx, func(ctx context.Context) error {
		_, err := c.store.settle(ctx, c.key.row(), c.version, rec)
		return err
	})
}

// conclude writes now if the platform answers in time, else in the background.
// The write's record is made once, so that a repeat of it is the same write.
// It goes on when the caller is gone, since the claim outlives the request.
func (c *Claim) conclude(ctx context.Context, write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.store.cfg.FinishTimeout)
	defer cancel()
	if err := write(ctx); unreachable(err) {
		c.store.later(write)
	}
}

func (c *Claim) record(st state) record {
	return record{Write: newWriteID(), State: st, Owner: c.store.cfg.Owner, Digest: c.digest, At: millis(time.Now())}
}

func (c *Claim) releasedRecord() record { return c.record(released) }

// keep puts the answer into rec, or into the object store when it is large.
// One over the bounds is not kept; the record then only says done.
func (s *Store) keep(ctx context.Context, rec *record, answer Response) error {
	encoded := answer.encode()
	if len(encoded) <= s.cfg.MaxInline {
		rec.Response = &answer
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
