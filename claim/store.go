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

// Config configures a Store. Table is required; zero values take the defaults.
type Config struct {
	// Table stores the claims. A table.Batcher groups concurrent claims into one transaction.
	Table table.Service
	// Objects stores responses over MaxInline bytes; nil drops them.
	Objects object.Store
	// Owner identifies this process in the rows, for operators who read them.
	Owner string
	// MaxInline and MaxObject bound a stored response, headers included, in bytes of JSON.
	MaxInline, MaxObject int
	// FinishTimeout bounds how long a caller waits for the final write of its claim. After that the
	// write continues in the background.
	FinishTimeout time.Duration
	// BackgroundTimeout bounds the retries of a background write.
	BackgroundTimeout time.Duration
	// Retention is how long rows are kept; UnknownRetention applies to rows whose call may have
	// run. Both must be far longer than any call.
	Retention, UnknownRetention time.Duration
	// ServiceRetention, if set, returns the retention for the rows of a service; zero means
	// Retention.
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
	// maxBackground bounds the concurrent background writes.
	maxBackground = 256
	// maxClaimAttempts bounds the writes of one Begin, which retries while it finds a released row.
	maxClaimAttempts = 4
	// inProgressSlack is added to the owner's deadline and grace period to allow for clock skew.
	inProgressSlack = 5 * time.Second
)

// Grace is how long after its caller's deadline a claimed call may go on, so that a late response
// is stored for a repeat.
const Grace = 30 * time.Second

// backgroundBackoff spaces the retries of background writes.
var backgroundBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: 5 * time.Second}

// Store claims calls and stores their responses. It is safe for concurrent use.
type Store struct {
	cfg        Config
	background errgroup.Group
}

// NewStore returns a Store with the defaults of cfg filled in.
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

// Wait returns once no background write is in flight. It is meant for planned shutdowns.
func (s *Store) Wait() { _ = s.background.Wait() }

// Begin claims a call. It returns a Claim, which permits one dispatch; or the stored response of a
// call that ran before; or a *failure.Request: ClaimUnavailable (not run), KeyReused (not run),
// ClaimInProgress or ClaimUnknown. Without a Claim the call must not be dispatched.
//
// Invariant: for each key, across all VMs, at most one Begin gets a Claim between two releases of
// the row. A Claim requires a write that is conditional on the row's absence or on the version of a
// released row, and only the holder of the claim writes the row after that.
func (s *Store) Begin(ctx context.Context, key Key, digest Digest) (*Claim, *Response, error) {
	rec := s.newRecord(ctx, digest)
	expected := table.Absent
	for range maxClaimAttempts {
		version, err := s.write(ctx, key.row(), expected, rec)
		if err == nil {
			return &Claim{store: s, key: key, version: version, digest: digest}, nil, nil
		}
		var occupied *occupiedError
		if !errors.As(err, &occupied) {
			s.releaseUnresolved(err, key, expected, rec)
			return nil, nil, unavailable(err)
		}
		if occupied.record.State != released || occupied.record.Digest != digest {
			resp, err := s.respondToRepeat(ctx, occupied.record, digest)
			return nil, resp, err
		}
		expected = occupied.version
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

// respondToRepeat returns the response or the failure for a repeat of the call recorded in rec.
func (s *Store) respondToRepeat(ctx context.Context, rec record, digest Digest) (*Response, error) {
	if rec.Digest != digest {
		return nil, keyReused()
	}
	if rec.State == done {
		return s.storedResponse(ctx, rec)
	}
	if millis(time.Now()) < rec.Until+(Grace+inProgressSlack).Milliseconds() {
		return nil, inProgress()
	}
	return nil, resultLost()
}

// storedResponse returns the response of a row in state done.
func (s *Store) storedResponse(ctx context.Context, rec record) (*Response, error) {
	metrics.GetOrCreateCounter(`springweir_claims_replayed_total`).Inc()
	if rec.Response != nil {
		return rec.Response, nil
	}
	if rec.Object == "" || s.cfg.Objects == nil {
		return nil, responseLost(nil)
	}
	data, err := s.cfg.Objects.Get(ctx, rec.Object)
	if err != nil {
		return nil, responseLost(err)
	}
	var resp Response
	if err := json.Unmarshal(data, &resp); err != nil {
		return nil, responseLost(err)
	}
	return &resp, nil
}

// releaseUnresolved releases, in the background, a claim whose write may have taken effect although
// Begin failed and the call is never dispatched. Otherwise repeats would get ClaimUnknown until the
// row is deleted.
func (s *Store) releaseUnresolved(err error, key Key, expected table.Version, rec record) {
	var unknown *table.UnknownError
	if !errors.As(err, &unknown) {
		return
	}
	s.runInBackground(func(ctx context.Context) error {
		version, err := s.write(ctx, key.row(), expected, rec)
		if err != nil {
			return err
		}
		c := &Claim{store: s, key: key, version: version, digest: rec.Digest}
		_, err = s.write(ctx, key.row(), version, c.releasedRecord())
		return err
	})
}
