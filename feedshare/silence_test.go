package feedshare

import (
	"context"
	"fmt"
	"maps"
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

// clientMargin is how much longer than its wait the platform's client lets a query of the store take.
const clientMargin = 500 * time.Millisecond

// silentRegion is a region whose connections can fall silent: nothing is reset, queries on them get no
// response, and only new connections work. It is safe for concurrent use.
type silentRegion struct {
	settings Settings
	zones    int
	store    *memtable.Table
	vms      []*silentVM

	mu sync.Mutex
	// silences counts the silences so far. A connection is silent if it was opened before the last one.
	silences int
	// storeSilent is set while the store answers nothing.
	storeSilent bool
	// noHistory is set if the store holds no changes that a VM missed.
	noHistory bool
}

// silentVM is a VM with one connection to the store and one to each other VM.
type silentVM struct {
	region *silentRegion
	index  int
	source *Source

	mu sync.Mutex
	// opened holds the number of silences before each connection was opened, by its address.
	opened map[string]int
	// received is when each value arrived.
	received map[string]time.Time
	// recoveredAt is when the first response after an outage arrived, and unansweredAt what the source gave then.
	recoveredAt, unansweredAt time.Time
}

const storeAddress = "store"

// runSilentRegion simulates n VMs in virtual time.
func runSilentRegion(t *testing.T, r *silentRegion, n int, steps func()) {
	synctest.Test(t, func(t *testing.T) {
		r.store = memtable.New()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range n {
			v := &silentVM{region: r, index: i, opened: map[string]int{}, received: map[string]time.Time{}}
			v.source = NewSource("t", r.settings, silentStore{v}, silentPeers{v}, v.position)
			r.vms = append(r.vms, v)
		}
		for _, v := range r.vms {
			running.Go(func() {
				time.Sleep(time.Duration(v.index) * 330 * time.Millisecond) // queries end at different times
				v.run(ctx)
			})
		}
		steps()
		cancel()
		running.Wait()
	})
}

func (v *silentVM) run(ctx context.Context) {
	record := func(row table.Row) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if value := string(row.Value); v.received[value].IsZero() {
			v.received[value] = time.Now()
		}
	}
	f := &table.Follower{
		Feed: v.source, Table: "t",
		OnList: func(rows []table.Row, _ table.Listing) {
			for _, row := range rows {
				record(row)
			}
		},
		OnChanges: func(changes []table.Change, afterOutage bool) {
			if afterOutage {
				v.mu.Lock()
				v.recoveredAt, v.unansweredAt = time.Now(), v.source.UnansweredAt()
				v.mu.Unlock()
			}
			for _, c := range changes {
				record(c.Row)
			}
		},
	}
	f.Run(ctx)
}

// position returns the VM's position: the VMs of a zone read from its first two.
func (v *silentVM) position() Position {
	p := Position{First: v.region.zones < len(v.region.vms) && v.index < v.region.zones, Rank: v.index}
	for i := v.index % v.region.zones; i < v.index && len(p.PrecedingPeers) < 2; i += v.region.zones {
		p.PrecedingPeers = append(p.PrecedingPeers, fmt.Sprint(i))
	}
	var outside []string
	for i := 0; i < v.region.zones && len(outside) < 3; i++ {
		if i != v.index%v.region.zones {
			outside = append(outside, fmt.Sprint(i))
		}
	}
	p.PeersOutsideZone = func() []string { return outside }
	return p
}

// fallSilent makes all open connections silent for good.
func (r *silentRegion) fallSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silences++
}

func (r *silentRegion) setStoreSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSilent = silent
}

// put writes the row and returns when that was acknowledged.
func (r *silentRegion) put(t *testing.T, value string) time.Time {
	t.Helper()
	if _, err := r.store.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: key("row"), Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
	return time.Now()
}

// late lists the VMs that received a value after due, or not at all.
func (r *silentRegion) late(value string, ackedAt, due time.Time) string {
	var list []string
	for _, v := range r.vms {
		v.mu.Lock()
		at := v.received[value]
		v.mu.Unlock()
		switch {
		case at.IsZero():
			list = append(list, fmt.Sprintf("VM %d never", v.index))
		case at.After(due):
			list = append(list, fmt.Sprintf("VM %d after %v", v.index, at.Sub(ackedAt)))
		}
	}
	return strings.Join(list, ", ")
}

// answers reports whether the VM's connection to address still works.
func (v *silentVM) answers(address string) bool {
	v.region.mu.Lock()
	defer v.region.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, open := v.opened[address]; !open {
		v.opened[address] = v.region.silences
	}
	return v.opened[address] == v.region.silences && (address != storeAddress || !v.region.storeSilent)
}

// exchange calls f on the VM's connection to address. If the connection is or falls silent, the
// exchange ends with ctx, and the connection is closed.
func (v *silentVM) exchange(ctx context.Context, address string, f func()) error {
	sound := v.answers(address)
	if sound {
		f()
		sound = v.answers(address)
	}
	if sound {
		return nil
	}
	<-ctx.Done()
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.opened, address)
	return ctx.Err()
}

// silentStore is the store as one VM reaches it.
type silentStore struct{ vm *silentVM }

func (s silentStore) List(ctx context.Context, name string) (rows []table.Row, version table.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, clientMargin)
	defer cancel()
	if silence := s.vm.exchange(ctx, storeAddress, func() { rows, version, err = s.vm.region.store.List(ctx, name) }); silence != nil {
		return nil, 0, &table.UnavailableError{Cause: silence}
	}
	return rows, version, err
}

func (s silentStore) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) (changes []table.Change, next table.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientMargin)
	defer cancel()
	silence := s.vm.exchange(ctx, storeAddress, func() {
		if missed, _, _ := s.vm.region.store.Changes(ctx, name, after, 0); s.vm.region.noHistory && len(missed) > 0 {
			err = &table.HistoryGoneError{Table: name, After: after}
			return
		}
		changes, next, err = s.vm.region.store.Changes(ctx, name, after, wait)
	})
	if silence != nil {
		return nil, 0, &table.UnavailableError{Cause: silence}
	}
	return changes, next, err
}

// silentPeers is how one VM reaches the others.
type silentPeers struct{ vm *silentVM }

func (p silentPeers) peer(address string) *silentVM {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		panic(err) // addresses are indexes
	}
	return p.vm.region.vms[index]
}

func (p silentPeers) List(ctx context.Context, address, name string) (rows []table.Row, version table.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	silence := p.vm.exchange(ctx, address, func() {
		var encoded []byte
		if encoded, version, err = p.peer(address).source.cache.encodedList(ctx, name); err == nil {
			var response feedpb.ListResponse
			err = proto.Unmarshal(encoded, &response)
			rows = rowsFromProto(name, response.Rows)
		}
	})
	if silence != nil {
		return nil, 0, &UnreachableError{Address: address, Cause: silence}
	}
	return rows, version, err
}

func (p silentPeers) Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) (changes []table.Change, next table.Version, err error) {
	silence := p.vm.exchange(ctx, address, func() {
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		changes, next, err = p.peer(address).source.cache.changes(waitCtx, name, after)
	})
	if silence != nil {
		return nil, 0, &UnreachableError{Address: address, Cause: silence}
	}
	return changes, next, err
}

// CloseIdle implements Peers. A VM sends one query at a time.
func (p silentPeers) CloseIdle() {
	p.vm.mu.Lock()
	defer p.vm.mu.Unlock()
	maps.DeleteFunc(p.vm.opened, func(address string, _ int) bool { return address != storeAddress })
}

// Guards against a change that a VM learns of too late because the query that it waits for got lost
// in a silence of the store or of connections: a change must be known within the propagation limit,
// or within the contact limit of the end of the silence if that is later.
func TestChangeReachesVMsDespiteSilence(t *testing.T) {
	// The contact limit is a second longer than the propagation limit wherever the system runs.
	const contactMargin = time.Second
	for _, kind := range []struct {
		name string
		// silence is how long the store answers nothing; queries that arrive meanwhile are never answered.
		// Zero makes all connections fall silent for good at one instant.
		silence time.Duration
		// again is how long after that all connections fall silent for good, unless zero.
		again     time.Duration
		noHistory bool
	}{
		{name: "connections fall silent for good"},
		{name: "the store is silent for 2.3 s", silence: 2300 * time.Millisecond},
		{name: "the store is silent for 5 s", silence: 5 * time.Second},
		{name: "connections fall silent twice", again: 700 * time.Millisecond},
		{name: "connections fall silent after the store", silence: 2300 * time.Millisecond, again: 300 * time.Millisecond},
		{name: "the store is silent for 2.3 s and has no history", silence: 2300 * time.Millisecond, noHistory: true},
		{name: "connections fall silent and the store has no history", noHistory: true},
		{name: "connections fall silent after the store, which has no history", silence: 2300 * time.Millisecond, again: 600 * time.Millisecond, noHistory: true},
		{name: "connections fall silent twice and the store has no history", again: 1100 * time.Millisecond, noHistory: true},
	} {
		for _, size := range []struct{ vms, zones int }{{6, 6}, {20, 1}, {45, 3}} {
			for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
				t.Run(fmt.Sprintf("%s, %d VMs in %d zones, %v", kind.name, size.vms, size.zones, limit), func(t *testing.T) {
					t.Parallel()
					for phase := range 12 {
						r := &silentRegion{settings: Settings{PropagationLimit: limit, CoalesceInterval: limit / 8}, zones: size.zones, noHistory: kind.noHistory}
						runSilentRegion(t, r, size.vms, func() {
							r.put(t, "old")
							time.Sleep(25*time.Second + time.Duration(phase)*370*time.Millisecond)
							r.setStoreSilent(kind.silence > 0)
							if kind.silence == 0 {
								r.fallSilent()
							}
							time.Sleep(kind.silence)
							r.setStoreSilent(false)
							if kind.again > 0 {
								time.Sleep(kind.again)
								r.fallSilent()
							}
							endedAt := time.Now()
							time.Sleep(2 * time.Millisecond)
							ackedAt := r.put(t, "new")
							time.Sleep(2*limit + 10*time.Second)
							if late := r.late("new", ackedAt, endedAt.Add(limit+contactMargin)); late != "" {
								t.Errorf("phase %d: a change is known too late at %s", phase, late)
							}
						})
					}
				})
			}
		}
	}
}

// Guards against keeping missing rows for longer or shorter than intended: when the store last did not respond is
// never after the end of its silence, and not long before the first response that follows.
func TestUnansweredAtBoundsEndOfSilence(t *testing.T) {
	// A query is given up after half a second, and the longest pause of the follower is 0.825 s.
	const retry = 1400 * time.Millisecond
	for _, size := range []struct{ vms, zones int }{{6, 6}, {20, 1}, {45, 3}} {
		t.Run(fmt.Sprintf("%d VMs in %d zones", size.vms, size.zones), func(t *testing.T) {
			t.Parallel()
			for phase := range 12 {
				r := &silentRegion{settings: Settings{PropagationLimit: 2 * time.Second, CoalesceInterval: 250 * time.Millisecond}, zones: size.zones}
				runSilentRegion(t, r, size.vms, func() {
					time.Sleep(25*time.Second + time.Duration(phase)*370*time.Millisecond)
					r.setStoreSilent(true)
					time.Sleep(5 * time.Second)
					r.setStoreSilent(false)
					endedAt := time.Now()
					time.Sleep(10 * time.Second)
					for _, v := range r.vms {
						v.mu.Lock()
						mostBefore := retry
						if len(v.position().PrecedingPeers) > 0 {
							mostBefore *= 2 // it hears from another VM that the store does not respond to that one
						}
						if v.unansweredAt.After(endedAt) || v.recoveredAt.Sub(v.unansweredAt) > mostBefore {
							t.Errorf("phase %d, VM %d: unanswered %v after the end, recovered %v after it", phase, v.index, v.unansweredAt.Sub(endedAt), v.recoveredAt.Sub(endedAt))
						}
						v.mu.Unlock()
					}
				})
			}
		})
	}
}
