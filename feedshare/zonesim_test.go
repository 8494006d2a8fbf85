package feedshare

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// propagationLimit is the limit that the tests use: a change must reach every VM by then.
const propagationLimit = 3 * time.Second

var errPartitioned = errors.New("partitioned")

// fault is a fault of a VM.
type fault int

const (
	healthy fault = iota
	// unreachable VMs refuse connections.
	unreachable
	// frozen VMs accept queries and don't respond, and send nothing themselves.
	frozen
	// storeFails makes the VM's queries of the store fail; storeHangs makes them time out.
	storeFails
	storeHangs
	// stale VMs report an older version than they have.
	stale
)

// zone simulates VMs that follow one table of a store.
type zone struct {
	t     *testing.T
	store *memtable.Table
	vms   []*vm

	mu sync.Mutex
	// storeCalls counts the queries to the store.
	storeCalls int
	// storeDown makes the store fail for all VMs.
	storeDown bool
	// storeDelay is the store's latency, and noHistory makes it keep no history of changes.
	storeDelay time.Duration
	noHistory  bool
	// settings apply to all VMs; zones is the number of zones that the VMs are spread over.
	settings Settings
	zones    int
	// detectsFaults lets the VMs of a zone detect which of them are unresponsive.
	detectsFaults bool
	// headStart is how much earlier the first VM of each zone starts. No VM knows of the others
	// until then.
	headStart time.Duration
	startedAt time.Time
}

type vm struct {
	zone   *zone
	index  int
	source *Source

	mu         sync.Mutex
	fault      fault
	faultSince time.Time
	values     map[string]string
	outages    int
	// firstSeen holds the time at which each value of a row was first received.
	firstSeen map[string]time.Time
}

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

// runZone simulates n VMs of one zone in virtual time.
func runZone(t *testing.T, n int, steps func(z *zone)) {
	runZones(t, &zone{settings: Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 3}, zones: 1}, n, steps)
}

// runZones simulates n VMs in virtual time.
func runZones(t *testing.T, z *zone, n int, steps func(z *zone)) {
	synctest.Test(t, func(t *testing.T) {
		z.t, z.store, z.startedAt = t, memtable.New(), time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range n {
			z.addVM(i)
		}
		for _, v := range z.vms {
			running.Add(1)
			go func() {
				defer running.Done()
				if v.index >= z.zones {
					time.Sleep(z.headStart)
				}
				v.run(ctx)
			}()
		}
		steps(z)
		cancel()
		running.Wait()
	})
}

func (z *zone) addVM(i int) {
	v := &vm{zone: z, index: i, values: map[string]string{}, firstSeen: map[string]time.Time{}}
	v.source = NewSource("t", z.settings, vmStore{v}, vmPeers{v}, v.position)
	z.vms = append(z.vms, v)
}

// detectionDelay is the time until the other VMs of a zone detect an unresponsive VM.
const detectionDelay = 400 * time.Millisecond

// position returns the VM's position among the VMs of its zone that are not detected as
// unresponsive.
func (v *vm) position() Position {
	z := v.zone
	if time.Since(z.startedAt) < z.headStart {
		return Position{PeersOutsideZone: func() []string { return nil }}
	}
	var preceding []string
	first := true
	for i := v.index % z.zones; i < v.index; i += z.zones {
		if z.detectsFaults && z.vms[i].unresponsiveFor() >= detectionDelay {
			continue
		}
		first = false
		if len(preceding) < 2 {
			preceding = append(preceding, fmt.Sprint(i))
		}
	}
	var outsideZone []string
	for i := range z.zones {
		if i != v.index%z.zones {
			outsideZone = append(outsideZone, fmt.Sprint(i))
		}
	}
	return Position{PrecedingPeers: preceding, First: first, Rank: v.index, PeersOutsideZone: func() []string { return outsideZone }}
}

// unresponsiveFor returns how long the VM has been unresponsive.
func (v *vm) unresponsiveFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != frozen && v.fault != unreachable {
		return 0
	}
	return time.Since(v.faultSince)
}

func (v *vm) run(ctx context.Context) {
	f := &table.Follower{
		Feed: v.source, Table: "t",
		OnList: func(rows []table.Row, _ table.Listing) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.values = map[string]string{}
			for _, r := range rows {
				v.recordRow(r)
			}
		},
		OnChanges: func(changes []table.Change, _ bool) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for _, c := range changes {
				if c.Deleted {
					delete(v.values, c.Row.Key.Row)
				} else {
					v.recordRow(c.Row)
				}
			}
		},
		OnUnavailable: func(error) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.outages++
		},
	}
	f.Run(ctx)
}

// recordRow records a received row. The caller holds mu.
func (v *vm) recordRow(r table.Row) {
	v.values[r.Key.Row] = string(r.Value)
	if id := r.Key.Row + "=" + string(r.Value); v.firstSeen[id].IsZero() {
		v.firstSeen[id] = time.Now()
	}
}

func (v *vm) hasFault(f fault) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault == f
}

func (v *vm) setFault(f fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault, v.faultSince = f, time.Now()
}

func (v *vm) outageCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outages
}

func (v *vm) value(row string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[row]
}

// vmStore is the store as one VM reaches it.
type vmStore struct{ vm *vm }

// check returns an error if a fault keeps the VM from reading the store now.
func (s vmStore) check(ctx context.Context) error {
	down := s.vm.zone.isStoreDown()
	if s.vm.hasFault(storeHangs) || s.vm.hasFault(frozen) {
		select { // the platform's client times out half a second after the wait
		case <-time.After(s.vm.zone.settings.pollWait() + 500*time.Millisecond):
		case <-ctx.Done():
		}
		down = true
	}
	if down || s.vm.hasFault(storeFails) {
		return &table.UnavailableError{Cause: errPartitioned}
	}
	return nil
}

func (s vmStore) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	s.vm.zone.countCall()
	time.Sleep(s.vm.zone.storeDelay)
	if err := s.check(ctx); err != nil {
		return nil, 0, err
	}
	return s.vm.zone.store.List(ctx, name)
}

func (s vmStore) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	s.vm.zone.countCall()
	time.Sleep(s.vm.zone.storeDelay)
	if err := s.check(ctx); err != nil {
		return nil, 0, err
	}
	if missed, _, err := s.vm.zone.store.Changes(ctx, name, after, 0); s.vm.zone.noHistory && err == nil && len(missed) > 0 {
		return nil, 0, &table.HistoryGoneError{Table: name, After: after}
	}
	changes, next, err := s.vm.zone.store.Changes(ctx, name, after, wait)
	if checkErr := s.check(ctx); checkErr != nil {
		return nil, 0, checkErr // a response that arrives during the fault is lost
	}
	return changes, next, err
}

// vmPeers is how one VM reaches the others.
type vmPeers struct{ vm *vm }

// CloseIdle implements Peers. Connections of this simulation do not fall silent.
func (vmPeers) CloseIdle() {}

// connect returns the VM at address, or an error if a fault makes it unreachable.
func (p vmPeers) connect(ctx context.Context, address string) (*vm, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	peer := p.vm.zone.vms[index]
	if peer.hasFault(frozen) {
		<-ctx.Done()
	}
	if peer.hasFault(unreachable) || ctx.Err() != nil {
		return nil, &UnreachableError{Address: address, Cause: errPartitioned}
	}
	time.Sleep(time.Millisecond)
	return peer, nil
}

func (p vmPeers) List(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	rows, version, err := peer.source.cache.encodedList(ctx, name)
	if err != nil {
		return nil, 0, err
	}
	var response feedpb.ListResponse
	if err := proto.Unmarshal(rows, &response); err != nil {
		return nil, 0, err
	}
	if peer.hasFault(stale) {
		version--
	}
	return rowsFromProto(name, response.Rows), version, nil
}

func (p vmPeers) Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	peer, err := p.connect(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if peer.hasFault(stale) {
		<-ctx.Done()
		return nil, 0, &BehindError{Version: after - 1, Local: after}
	}
	return peer.source.cache.changes(ctx, name, after)
}

func (z *zone) put(row, value string) {
	z.t.Helper()
	if _, err := z.store.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key(row), Value: []byte(value)}}}); err != nil {
		z.t.Fatal(err)
	}
}

func (z *zone) countCall() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.storeCalls++
}

func (z *zone) isStoreDown() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.storeDown
}

func (z *zone) callCount() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.storeCalls
}

func (z *zone) setStoreDown(down bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.storeDown = down
}

// vmsWithout lists the VMs, except some, that don't have a value.
func (z *zone) vmsWithout(row, value string, except ...int) string {
	var list []string
	for _, v := range z.vms {
		if got := v.value(row); got != value && !slices.Contains(except, v.index) {
			list = append(list, fmt.Sprintf("%d:%q", v.index, got))
		}
	}
	return strings.Join(list, " ")
}
