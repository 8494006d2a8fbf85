package origin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table"
)

const (
	// publishInterval is how often it is checked whether records have to be sent that were not needed
	// before.
	publishInterval = 100 * time.Millisecond
	// recordDelay is how long a record takes to reach the other VMs, with one lost datagram.
	recordDelay = 40 * time.Millisecond
	// unknownRetryAfter is when a caller may retry whose stream's origin is unknown.
	unknownRetryAfter = 100 * time.Millisecond
)

// Config configures a Tracker.
type Config struct {
	// Window returns for how long after a response brought its first event the record of the stream is kept; zero
	// before it is known.
	Window func() time.Duration
	// Publish sends records to the VMs that keep them.
	Publish func(...loadshare.StreamRecord)
	// Peers returns the other VMs that may hold a record and are presumed alive, and the number of others
	// including those that are not.
	Peers func() (alive []loadshare.Peer, others int)
	// Asker asks them.
	Asker Asker
	// Rows is the platform's store, in which it is kept which versions the services have had. Epoch returns its epoch,
	// and WriteSpread the time over which the VMs spread their writes; both may be nil.
	Rows        table.Service
	Epoch       func() uint64
	WriteSpread func() time.Duration
	// Now returns the current time; nil selects the system clock.
	Now func() time.Time
}

// Tracker implements relay.Origins. It is safe for concurrent use; mu is a leaf lock.
type Tracker struct {
	cfg      Config
	register *register

	mu      sync.Mutex
	history *history
	ledger  *ledger
}

var _ relay.Origins = (*Tracker)(nil)

// New returns a Tracker that knows no endpoints and no streams.
func New(c Config) *Tracker {
	c.Now = clock.OrSystem(c.Now)
	return &Tracker{cfg: c, register: newRegister(c), history: newHistory(), ledger: newLedger(c.Now())}
}

// SetEndpoints records the software of the endpoints in a new snapshot.
func (t *Tracker) SetEndpoints(s *directory.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.apply(t.cfg.Now(), s.Changes())
}

// SetCurrent records whether this VM has listed the endpoints and receives their changes.
func (t *Tracker) SetCurrent(current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.setCurrent(t.cfg.Now(), current)
}

// SetConfig records a configuration before it is put in force. Older ones than the last have no effect.
func (t *Tracker) SetConfig(c *routes.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.history.config; before == nil || c.Version > before.Version {
		t.history.setConfig(c)
	}
}

// Run drops old records, sends those that were not needed before, and keeps the versions of the services registered,
// until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { loop.Every(ctx, publishInterval, t.maintain); return nil })
	group.Go(func() error { loop.Every(ctx, publishInterval, func() { t.registerVersions(ctx) }); return nil })
	_ = group.Wait() // neither returns an error
}

// registerVersions registers the versions that this VM has seen of each service. It does nothing before the endpoints
// are listed.
func (t *Tracker) registerVersions(ctx context.Context) {
	for service, seen := range t.seen() {
		if t.register.needsUpdate(service, seen) {
			logFailure(service, t.register.update(ctx, service, seen))
		}
	}
}

// seen returns what this VM has seen of each service.
func (t *Tracker) seen() map[string]registration {
	now, window := t.cfg.Now(), t.cfg.Window()
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]registration{}
	if t.history.listedAt.IsZero() {
		return services
	}
	for service := range t.history.services {
		v := t.history.view(now, service, window)
		services[service] = registration{Versions: v.versions, Complete: v.covered && v.current}
	}
	return services
}

// view returns what is known of a service's software. The caller holds mu.
func (t *Tracker) view(now time.Time, service string, window time.Duration) view {
	return t.history.view(now, service, window).with(t.register.get(service))
}

// needRecords returns the software whose streams need records, because it is not known to be the only version of its
// service. The caller holds mu.
func (t *Tracker) needRecords(now time.Time, window time.Duration) map[uint32]bool {
	needed := map[uint32]bool{}
	for service := range t.history.services {
		v := t.view(now, service, window)
		if v.hasOneVersion() {
			continue
		}
		for _, hash := range v.versions {
			needed[hash] = true
		}
	}
	return needed
}

// maintain drops old records. It sends those of streams whose software can no longer be inferred.
func (t *Tracker) maintain() {
	now, window := t.cfg.Now(), t.cfg.Window()
	t.mu.Lock()
	if window > 0 {
		t.ledger.rotate(now, window)
	}
	var records []loadshare.StreamRecord
	if needed := t.needRecords(now, window); len(needed) > 0 {
		records = t.ledger.takeUnpublished(needed)
	}
	t.mu.Unlock()
	if len(records) > 0 {
		klog.InfoS("origin: sending the records of open streams, their software can no longer be inferred", "streams", len(records))
		t.cfg.Publish(records...)
	}
}

// Began implements relay.Origins.
func (t *Tracker) Began(r *relay.Request, s directory.Software) {
	id := r.ID
	if r.Origin != "" {
		id = r.Origin
	}
	now, window, record := t.cfg.Now(), t.cfg.Window(), loadshare.StreamRecord{Stream: streamHash(id), Software: softwareHash(s)}
	t.mu.Lock()
	publish := len(r.Route.Targets) > 1 || !t.view(now, s.Service, window).isOnly(record.Software)
	if publish {
		t.ledger.put(now, record.Stream, record.Software)
	} else {
		t.ledger.putUnpublished(now, record.Stream, record.Software)
	}
	t.mu.Unlock()
	if publish {
		t.cfg.Publish(record)
	}
}

// Receive stores the records of another VM.
func (t *Tracker) Receive(records []loadshare.StreamRecord) {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.ledger.put(now, r.Stream, r.Software)
	}
}

// source is where the software of a stream is known from.
type source struct {
	// name is "record" for a record of this VM, the name of the VM that had one, or an inference.
	name            string
	age             time.Duration
	asked, answered int
}

// Find implements relay.Origins.
func (t *Tracker) Find(ctx context.Context, r *relay.Request) (*directory.Software, *failure.Request) {
	start := t.cfg.Now()
	hash, from := t.determine(ctx, r)
	t.mu.Lock()
	software := t.history.find(hash)
	t.mu.Unlock()
	count(from)
	version := ""
	if software != nil {
		version = software.Version
	}
	klog.InfoS("origin: stream is taken up", "request", r.ID, "origin", r.Origin, "lastEvent", r.LastEventID, "service", r.Service,
		"software", version, "hash", hash, "from", from.name, "ageMS", from.age.Milliseconds(), "asked", from.asked, "answered", from.answered,
		"tookMS", t.cfg.Now().Sub(start).Milliseconds())
	switch {
	case hash == 0:
		return nil, &failure.Request{
			Code: failure.OriginUnknown, Ran: failure.NotRun, RetryAfter: unknownRetryAfter,
			Message: "it is not known which software version began the stream",
		}
	case software == nil:
		return nil, &failure.Request{Code: failure.SoftwareGone, Ran: failure.NotRun, Message: "the software version that began the stream is not known here"}
	}
	return software, nil
}

func count(from source) {
	kind := from.name
	switch kind {
	case "record", string(inferred), string(notOneVersion), string(notCovered), string(notCurrent):
	default:
		kind = "vm"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_streams_taken_up_total{from=%q}`, kind)).Inc()
}

// determine returns the hash of the software that began a stream, or zero. A record that is not found may
// be on its way, and is looked for once more.
func (t *Tracker) determine(ctx context.Context, r *relay.Request) (uint32, source) {
	hash, from := t.search(ctx, r)
	if hash == 0 && r.Origin != "" && loop.Sleep(ctx, recordDelay) {
		return t.search(ctx, r)
	}
	return hash, from
}

// search looks for the record of a stream here and at other VMs, and infers the software if there is none.
func (t *Tracker) search(ctx context.Context, r *relay.Request) (uint32, source) {
	now, window, stream := t.cfg.Now(), t.cfg.Window(), streamHash(r.Origin)
	t.mu.Lock()
	hash, age, found := t.ledger.get(now, stream)
	own := t.view(now, r.Service, window)
	t.mu.Unlock()
	if found && r.Origin != "" {
		return hash, source{name: "record", age: age}
	}
	peers, others := t.cfg.Peers()
	answers, decided := t.ask(ctx, peers, stream, r, own)
	from := source{asked: len(peers), answered: len(answers)}
	if decided != nil {
		from.name, from.age = decided.VM, decided.Age
		return decided.Software, from
	}
	// This VM may have been suspended, or cut off, while another version was there.
	confirmed := t.register.refresh(ctx, r.Service)
	t.mu.Lock()
	own = t.view(now, r.Service, window)
	t.mu.Unlock()
	// The loss of the endpoints' changes shows only after seconds.
	own.current = own.current && confirmed
	hash, outcome := infer(own, answers, len(peers), others)
	if outcome == inferred && len(r.Route.Targets) > 1 {
		hash, outcome = 0, notOneVersion
	}
	from.name = string(outcome)
	return hash, from
}

// ask asks other VMs for a stream until one has a record of it. If this VM knows of a single version, the
// answers of most of the others are enough.
func (t *Tracker) ask(ctx context.Context, peers []loadshare.Peer, stream uint64, r *relay.Request, own view) (answers []Answer, found *Answer) {
	if len(peers) == 0 {
		return nil, nil
	}
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	results := make(chan *Answer, len(peers))
	for _, p := range peers {
		go func() { results <- t.askOne(ctx, p, stream, r.Service) }()
	}
	for range peers {
		a := <-results
		if a == nil {
			continue
		}
		if a.Software != 0 {
			return answers, a
		}
		answers = append(answers, *a)
		if own.hasOneVersion() && 2*len(answers) > len(peers) {
			break
		}
	}
	return answers, nil
}

// askOne returns the answer of a VM, or nil if it gives none.
func (t *Tracker) askOne(ctx context.Context, p loadshare.Peer, stream uint64, service string) *Answer {
	a, err := t.cfg.Asker.Find(ctx, p.Address.String(), stream, service)
	if err != nil {
		klog.V(1).InfoS("origin: VM gave no answer", "vm", p.Name, "err", err)
		return nil
	}
	a.VM = p.Name
	return &a
}

// answer returns what this VM knows about a stream and a service.
func (t *Tracker) answer(stream uint64, service string) Answer {
	now, window := t.cfg.Now(), t.cfg.Window()
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view(now, service, window)
	a := Answer{Versions: v.versions, Covered: v.covered, Current: v.current}
	if software, age, found := t.ledger.get(now, stream); found {
		a.Software, a.Age = software, age
	}
	return a
}
