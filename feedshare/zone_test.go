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

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// within is the bound of the tests: a change must be known everywhere by then.
const within = 3 * time.Second

var errCut = errors.New("cut off")

// fault is what is wrong with a VM.
type fault int

const (
	healthy fault = iota
	// unreachable VMs refuse connections.
	unreachable
	// frozen ones take questions and say nothing, and do nothing themselves.
	frozen
	// cutFromStore ones get errors from the store, deafToStore ones no answers.
	cutFromStore
	deafToStore
	// behind ones tell of an older version than they have.
	behind
)

// zone is a zone of VMs that follow one table of a store.
type zone struct {
	t     *testing.T
	store *memtable.Table
	vms   []*vm

	mu sync.Mutex
	// calls counts the questions to the store.
	calls int
	// away makes the store fail for all.
	away bool
	// delay is how long the store takes over an answer, and forgets makes it keep no history.
	delay   time.Duration
	forgets bool
	// settings are those of all VMs, and zones is the number of zones that they lie in.
	settings Settings
	zones    int
	// notices makes the VMs of a zone notice which of them are silent.
	notices bool
	// headStart is how much sooner the first VM of each zone starts, which knows of no other until then.
	headStart time.Duration
	begun     time.Time
}

type vm struct {
	zone   *zone
	index  int
	source *Source

	mu         sync.Mutex
	fault      fault
	faultSince time.Time
	values     map[string]string
	lost       int
	// learned is when a value of a row was first known.
	learned map[string]time.Time
}

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

// play runs n VMs of a zone in virtual time.
func play(t *testing.T, n int, steps func(z *zone)) {
	playZones(t, &zone{settings: Settings{PropagationLimit: within, CoalesceInterval: within / 3}, zones: 1}, n, steps)
}

// playZones runs n VMs in virtual time.
func playZones(t *testing.T, z *zone, n int, steps func(z *zone)) {
	synctest.Test(t, func(t *testing.T) {
		z.t, z.store, z.begun = t, memtable.New(), time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range n {
			z.add(i)
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

func (z *zone) add(i int) {
	v := &vm{zone: z, index: i, values: map[string]string{}, learned: map[string]time.Time{}}
	v.source = NewSource("t", z.settings, storeOf{v}, peersOf{v}, v.place)
	z.vms = append(z.vms, v)
}

// noticed is after what time the other VMs of a zone notice that one is silent.
const noticed = 400 * time.Millisecond

// place is where the VM stands among those of its zone that are not known to be silent.
func (v *vm) place() Position {
	z := v.zone
	if time.Since(z.begun) < z.headStart {
		return Position{}
	}
	var before []string
	first := true
	for i := v.index % z.zones; i < v.index; i += z.zones {
		if z.notices && z.vms[i].silentFor() >= noticed {
			continue
		}
		first = false
		if len(before) < 2 {
			before = append(before, fmt.Sprint(i))
		}
	}
	var elsewhere []string
	for i := range z.zones {
		if i != v.index%z.zones {
			elsewhere = append(elsewhere, fmt.Sprint(i))
		}
	}
	return Position{PrecedingPeers: before, First: first, Rank: v.index, PeersOutsideZone: elsewhere}
}

// silentFor is how long the VM has said nothing to the others.
func (v *vm) silentFor() time.Duration {
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
				v.learn(r)
			}
		},
		OnChanges: func(changes []table.Change, _ bool) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for _, c := range changes {
				if c.Deleted {
					delete(v.values, c.Row.Key.Row)
				} else {
					v.learn(c.Row)
				}
			}
		},
		OnUnavailable: func(error) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.lost++
		},
	}
	f.Run(ctx)
}

// learn takes in a row. The caller holds mu.
func (v *vm) learn(r table.Row) {
	v.values[r.Key.Row] = string(r.Value)
	if id := r.Key.Row + "=" + string(r.Value); v.learned[id].IsZero() {
		v.learned[id] = time.Now()
	}
}

func (v *vm) is(f fault) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault == f
}

func (v *vm) set(f fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault, v.faultSince = f, time.Now()
}

func (v *vm) losses() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lost
}

func (v *vm) value(row string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[row]
}

// storeOf is the store as one VM reaches it.
type storeOf struct{ vm *vm }

func (s storeOf) before(ctx context.Context) error {
	away := s.vm.zone.isAway()
	if s.vm.is(deafToStore) || s.vm.is(frozen) {
		select { // the platform's client gives up half a second after the wait
		case <-time.After(s.vm.zone.settings.wait() + 500*time.Millisecond):
		case <-ctx.Done():
		}
		away = true
	}
	if away || s.vm.is(cutFromStore) {
		return &table.UnavailableError{Cause: errCut}
	}
	return nil
}

func (s storeOf) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	s.vm.zone.ask()
	time.Sleep(s.vm.zone.delay)
	if err := s.before(ctx); err != nil {
		return nil, 0, err
	}
	return s.vm.zone.store.List(ctx, name)
}

func (s storeOf) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	s.vm.zone.ask()
	time.Sleep(s.vm.zone.delay)
	if err := s.before(ctx); err != nil {
		return nil, 0, err
	}
	if missed, _, err := s.vm.zone.store.Changes(ctx, name, after, 0); s.vm.zone.forgets && err == nil && len(missed) > 0 {
		return nil, 0, &table.HistoryGoneError{Table: name, After: after}
	}
	changes, next, err := s.vm.zone.store.Changes(ctx, name, after, wait)
	if again := s.before(ctx); again != nil {
		return nil, 0, again // what came while the VM was cut off is lost
	}
	return changes, next, err
}

// peersOf is how one VM reaches the others.
type peersOf struct{ vm *vm }

func (p peersOf) reach(ctx context.Context, address string) (*vm, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	to := p.vm.zone.vms[index]
	if to.is(frozen) {
		<-ctx.Done()
	}
	if to.is(unreachable) || ctx.Err() != nil {
		return nil, &UnreachableError{Address: address, Cause: errCut}
	}
	time.Sleep(time.Millisecond)
	return to, nil
}

func (p peersOf) List(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	rows, at, err := to.source.cache.list(ctx, name)
	if to.is(behind) {
		at--
	}
	return rows, at, err
}

func (p peersOf) Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if to.is(behind) {
		<-ctx.Done()
		return nil, 0, &BehindError{Version: after - 1, Local: after}
	}
	return to.source.cache.changes(ctx, name, after)
}

func (z *zone) put(row, value string) {
	z.t.Helper()
	if _, err := z.store.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key(row), Value: []byte(value)}}}); err != nil {
		z.t.Fatal(err)
	}
}

func (z *zone) ask() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.calls++
}

func (z *zone) isAway() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.away
}

func (z *zone) asked() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.calls
}

func (z *zone) setAway(away bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.away = away
}

// unaware lists the VMs, but for some, that do not know a value.
func (z *zone) unaware(row, value string, but ...int) string {
	var list []string
	for _, v := range z.vms {
		if got := v.value(row); got != value && !slices.Contains(but, v.index) {
			list = append(list, fmt.Sprintf("%d:%q", v.index, got))
		}
	}
	return strings.Join(list, " ")
}
