package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/table"
)

// Config is what a Store works with. Table is required; zero settings take the
// defaults.
type Config struct {
	// Table keeps the claims. A table.Batcher groups those that wait at the
	// same moment.
	Table table.Service
	// Objects keeps answers over MaxInline bytes; nil means they are not kept.
	Objects object.Store
	// Owner names this process's instance, for operators who read a row.
	Owner string
	// MaxInline and MaxObject bound a kept answer, headers included, in bytes
	// of JSON.
	MaxInline, MaxObject int
	// FinishTimeout bounds how long a caller's answer waits to be kept. After
	// that it is kept in the background.
	FinishTimeout time.Duration
	// BackgroundTimeout bounds how long a write is tried in the background.
	BackgroundTimeout time.Duration
	// Retention is how long rows are kept; UnknownRetention how long a row that says
	// perhaps run is. Both are far longer than any call.
	Retention, UnknownRetention time.Duration
	// ServiceRetention, if set, tells how long the rows of a service are kept; zero
	// takes Retention.
	ServiceRetention func(service string) time.Duration
}

// Defaults of Config.
const (
	DefaultMaxInline         = 8 << 10
	DefaultMaxObject         = 1 << 20
	DefaultFinishTimeout     = 250 * time.Millisecond
	DefaultBackgroundTimeout = 10 * time.Minute
	DefaultRetention         = 24 * time.Hour
	DefaultUnknownRetention  = 14 * 24 * time.Hour
)

const (
	// maxBackground bounds the writes under way in the background.
	maxBackground = 256
	// maxTakeovers bounds how often one Begin chases released rows.
	maxTakeovers = 4
	// inProgressSlack is added to the owner's deadline and grace for clocks
	// that differ.
	inProgressSlack = 5 * time.Second
)

// Grace is how long after its caller's deadline a claimed call may go on, so
// that a late answer is kept for a repeat.
const Grace = 30 * time.Second

// settleBackoff spaces the tries of writes in the background.
var settleBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: 5 * time.Second}

// Store claims calls and keeps their answers. It is safe for concurrent use.
type Store struct {
	cfg        Config
	background errgroup.Group
}

// NewStore returns a Store.
func NewStore(cfg Config) *Store {
	setDefault(&cfg.MaxInline, DefaultMaxInline)
	setDefault(&cfg.MaxObject, DefaultMaxObject)
	setDefault(&cfg.FinishTimeout, DefaultFinishTimeout)
	setDefault(&cfg.BackgroundTimeout, DefaultBackgroundTimeout)
	setDefault(&cfg.Retention, DefaultRetention)
	setDefault(&cfg.UnknownRetention, DefaultUnknownRetention)
	s := &Store{cfg: cfg}
	s.background.SetLimit(maxBackground)
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Wait returns once no write is under way in the background. It is for planned stops.
func (s *Store) Wait() { _ = s.background.Wait() }

// Begin claims a call. It returns a Claim, after which the call may be
// dispatched once; or the stored answer of a call that ran before; or
// *failure.Request:
// ClaimUnavailable (not run), KeyReused (not run), ClaimInProgress or
// ClaimUnknown. With any of these the call must not be dispatched.
//
// Invariant: of all the Begins of one key, on all VMs, at most one holds a
// Claim between two released rows. A Claim rests on a write that is
// conditional on the row's absence or on the version of a released row, and
// only the holder of the claim writes the row after that.
func (s *Store) Begin(ctx context.Context, key Key, digest Digest) (*Claim, *Response, error) {
	rec := s.newRecord(ctx, digest)
	at := table.Absent
	for range maxTakeovers {
		version, err := s.settle(ctx, key.row(), at, rec)
		if err == nil {
			return &Claim{store: s, key: key, version: version, digest: digest}, nil, nil
		}
		var other *occupiedError
		if !errors.As(err, &other) {
			s.abandonUnsettled(err, key, at, rec)
			return nil, nil, unavailable(err)
		}
		if other.record.State != released || other.record.Digest != digest {
			answer, err := s.repeat(ctx, other.record, digest)
			return nil, answer, err
		}
		at = other.version
	}
	return nil, nil, inProgress()
}

func (s *Store) newRecord(ctx context.Context, digest Digest) record {
	now := time.Now()
	rec := record{Write: newWriteID(), State: claimed, Owner: s.cfg.Owner, Digest: digest, At: millis(now)}
	if deadline, ok := ctx.Deadline(); ok {
		rec.Until = millis(deadline)
	}
	return rec
}

// repeat answers a repeat of a call from its row.
func (s *Store) repeat(ctx context.Context, rec record, digest Digest) (*Response, error) {
	if rec.Digest != digest {
		return nil, keyReused()
	}
	if rec.State == done {
		return s.stored(ctx, rec)
	}
	if millis(time.Now()) < rec.Until+(Grace+inProgressSlack).Milliseconds() {
		return nil, inProgress()
	}
	return nil, lost()
}

// stored returns the answer that a done row keeps.
func (s *Store) stored(ctx context.Context, rec record) (*Response, error) {
	metrics.GetOrCreateCounter(`springweir_claims_replayed_total`).Inc()
	if rec.Response != nil {
		return rec.Response, nil
	}
	if rec.Object == "" || s.cfg.Objects == nil {
		return nil, notKept(nil)
	}
	data, err := s.cfg.Objects.Get(ctx, rec.Object)
	if err != nil {
		return nil, notKept(err)
	}
	var answer Response
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, notKept(err)
	}
	return &answer, nil
}

// abandonUnsettled releases, in the background, a claim that may have been
// written although this process gave the call up and never dispatches it.
// Without it the key would say perhaps run until it is cleaned.
func (s *Store) abandonUnsettled(err error, key Key, at table.Version, rec record) {
	var unknown *table.UnknownError
	if !errors.As(err, &unknown) {
		return
	}
	s.later(func(ctx context.Context) error {
		version, err := s.settle(ctx, key.row(), at, rec)
		if err != nil {
			return err
		}
		c := &Claim{store: s, key: key, version: version, digest: rec.Digest}
		_, err = s.settle(ctx, key.row(), version, c.releasedRecord())
		return err
	})
}
