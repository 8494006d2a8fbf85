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
	playZones(t, &zone{settings: Settings{Within: within, Gather: within / 3}, zones: 1}, n, steps)
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
func (v *vm) place() Place {
	z := v.zone
	if time.Since(z.begun) < z.headStart {
		return Place{}
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
	return Place{Before: before, First: first, Rank: v.index, Elsewhere: elsewhere}
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
		OnLost: func(error) {
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
		return nil, &SilentError{Address: address, Cause: err}
	}
	to := p.vm.zone.vms[index]
	if to.is(frozen) {
		<-ctx.Done()
	}
	if to.is(unreachable) || ctx.Err() != nil {
		return nil, &SilentError{Address: address, Cause: errCut}
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
		return nil, 0, &BehindError{Version: after - 1, Known: after}
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

// The calls to the store do not grow with the VMs of a zone, and a change is known at once.
func TestOneVMOfAZoneFollowsTheStore(t *testing.T) {
	play(t, 60, func(z *zone) {
		z.put("a", "1")
		time.Sleep(5 * time.Second)
		before := z.asked()
		for i := range 10 {
			time.Sleep(3 * time.Second)
			z.put("a", fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
			if late := z.unaware("a", fmt.Sprint(i)); late != "" {
				t.Fatalf("100 ms after change %d it is not known on %s", i, late)
			}
		}
		if n := z.asked() - before; n > 60 {
			t.Errorf("%d questions to the store in 31 s of a zone of 60 VMs, want those of one VM", n)
		}
	})
}

// Whatever happens to the VM that the others read from, a change is known within the
// bound on all VMs that reach the store.
func TestChangeIsKnownInTimeWhateverBecomesOfItsReader(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"unreachable", map[int]fault{0: unreachable}},
		{"frozen", map[int]fault{0: frozen}},
		{"cut off from the store", map[int]fault{0: cutFromStore}},
		{"no answers from the store", map[int]fault{0: deafToStore}},
		{"behind in versions", map[int]fault{0: behind}},
		{"the first frozen, the second unreachable", map[int]fault{0: frozen, 1: unreachable}},
		{"the first without answers, the second cut off from the store", map[int]fault{0: deafToStore, 1: cutFromStore}},
		{"a member cut off from the reader alone", map[int]fault{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The moment of the fault falls on all parts of a question's wait.
			for phase := range 8 {
				play(t, 20, func(z *zone) {
					z.put("a", "old")
					time.Sleep(8*time.Second + time.Duration(phase)*150*time.Millisecond)
					var excepted []int
					for i, f := range tc.faults {
						z.vms[i].set(f)
						if f != unreachable && f != behind {
							excepted = append(excepted, i)
						}
					}
					z.put("a", "new")
					time.Sleep(within)
					if late := z.unaware("a", "new", excepted...); late != "" {
						t.Errorf("phase %d: after the bound not known on %s", phase, late)
					}
					for i := range tc.faults {
						z.vms[i].set(healthy)
					}
					time.Sleep(4 * doubt)
					z.put("a", "newer")
					time.Sleep(within / 2)
					if late := z.unaware("a", "newer"); late != "" {
						t.Errorf("phase %d: after the fault not known on %s", phase, late)
					}
					before := z.asked()
					time.Sleep(10 * time.Second)
					if n := z.asked() - before; n > 45 {
						t.Errorf("phase %d: %d questions to the store in 10 s, the VMs did not go back to their reader", phase, n)
					}
				})
			}
		})
	}
}

// A VM that woke from a freeze holds an old picture. It says so until the store has
// answered it.
func TestFrozenReaderPassesOnNothingOld(t *testing.T) {
	play(t, 20, func(z *zone) {
		z.put("a", "old")
		time.Sleep(5 * time.Second)
		z.vms[0].set(frozen)
		time.Sleep(5 * time.Second)
		z.put("a", "new")
		time.Sleep(within)
		z.vms[0].set(healthy)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if late := z.unaware("a", "new", 0); late != "" {
				t.Fatalf("a VM went back to the old value: %s", late)
			}
		}
	})
}

// A zone that has lost the store learns of changes from the readers of the others, without many
// questions to these, and goes back to its own once it can.
func TestZoneThatLosesTheStoreLearnsFromOthers(t *testing.T) {
	for _, lost := range []fault{cutFromStore, deafToStore} {
		z := &zone{settings: Settings{Within: within, Gather: within / 12}, zones: 3}
		playZones(t, z, 60, func(z *zone) {
			z.put("a", "old")
			time.Sleep(10 * time.Second)
			for i := 0; i < len(z.vms); i += z.zones {
				z.vms[i].set(lost)
			}
			time.Sleep(4 * time.Second)
			for n := range 5 {
				z.put("a", fmt.Sprint("new ", n))
				time.Sleep(2 * within)
				if late := z.unaware("a", fmt.Sprint("new ", n)); late != "" {
					t.Errorf("fault %d, change %d is not known on %s", lost, n, late)
				}
			}
			for _, v := range z.vms {
				v.set(healthy)
			}
			time.Sleep(4 * doubt)
			z.put("a", "newer")
			time.Sleep(within / 2)
			if late := z.unaware("a", "newer"); late != "" {
				t.Errorf("after the fault not known on %s", late)
			}
			before := z.asked()
			time.Sleep(10 * time.Second)
			if n := z.asked() - before; n > 3*25 {
				t.Errorf("%d questions to the store in 10 s, the VMs did not go back to their readers", n)
			}
		})
	}
}

// While the store is away only the first VMs ask it often, nobody forgets what is known,
// and all know of its return soon after the first does.
func TestFewAskAStoreThatIsAway(t *testing.T) {
	play(t, 60, func(z *zone) {
		z.put("a", "old")
		time.Sleep(10 * time.Second)
		z.setAway(true)
		before := z.asked()
		time.Sleep(5 * time.Second)
		if late := z.unaware("a", "old"); late != "" {
			t.Errorf("forgotten while the store is away: %s", late)
		}
		if n := z.asked() - before; n > 120 {
			t.Errorf("%d questions in 5 s to a store that is away, by 60 VMs", n)
		}
		z.put("a", "new")
		z.setAway(false)
		time.Sleep(within)
		if late := z.unaware("a", "new"); late != "" {
			t.Errorf("%v after the return not known on %s", within, late)
		}
		for _, v := range z.vms {
			if v.losses() == 0 {
				t.Errorf("VM %d did not notice that the store was away", v.index)
			}
		}
	})
}

// VMs that start ask the first of their zone and not the store, also where that one started sooner and
// did not know then that others would ask it: a first question that waits for long leaves it without
// an answer that it may pass on.
func TestVMsThatStartAskTheFirstOfTheirZone(t *testing.T) {
	z := &zone{settings: Settings{Within: within, Gather: within / 12}, zones: 3, headStart: 100 * time.Millisecond}
	playZones(t, z, 60, func(z *zone) {
		time.Sleep(5 * time.Second)
		if n := z.asked(); n > 30 {
			t.Errorf("60 VMs asked the store %d questions in the first 5 s", n)
		}
	})
}

// What a VM was told by another it does not tell a third: only the store's answers count.
func TestWhatWasToldIsNotPassedOn(t *testing.T) {
	play(t, 3, func(z *zone) {
		z.put("a", "1")
		time.Sleep(10 * time.Second)
		_, _, err := z.vms[2].source.cache.list(context.Background(), "t")
		var reader *NotReaderError
		if !errors.As(err, &reader) {
			t.Errorf("a VM that reads from another passes on the table: %v", err)
		}
	})
}

// A VM that missed more changes than are kept reads the table anew, from its reader.
func TestVMThatFellBehindReadsAnew(t *testing.T) {
	play(t, 4, func(z *zone) {
		z.put("gone", "1")
		time.Sleep(5 * time.Second)
		c := z.vms[0].source.cache
		for i := range 2 * maxHistory {
			version := c.at()
			c.apply(version, []table.Change{{Row: table.Row{Key: key(fmt.Sprint(i))}}}, version+1, time.Now())
		}
		_, _, err := c.changes(context.Background(), "t", 1)
		var gone *table.HistoryGoneError
		if !errors.As(err, &gone) || len(c.log) > maxHistory {
			t.Errorf("%d answers are kept, and one before them gives %v", len(c.log), err)
		}
	})
}

// When the store comes back from a copy, every VM of a zone knows the table as it is then: also when
// its versions have caught up, when the reader does not hear of it, and a VM that was cut off
// through it all.
func TestCopyOfTheStoreReachesEveryVM(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"all in touch", nil},
		{"the reader is cut off from the store", map[int]fault{0: cutFromStore}},
		{"the reader is frozen", map[int]fault{0: frozen}},
		{"a member is frozen", map[int]fault{7: frozen}},
		{"the whole zone is cut off", map[int]fault{0: cutFromStore, 1: cutFromStore, 2: cutFromStore, 3: cutFromStore, 4: cutFromStore, 5: cutFromStore, 6: cutFromStore, 7: cutFromStore}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, 8, func(z *zone) {
				z.put("a", "old")
				z.put("b", "old")
				time.Sleep(10 * time.Second)
				copied := z.store.Copy()
				for n := range 5 {
					z.put("a", fmt.Sprint("lost ", n))
				}
				time.Sleep(within)
				var excepted []int
				for i, f := range tc.faults {
					z.vms[i].set(f)
					excepted = append(excepted, i)
				}
				z.store.ComeBack(copied)
				for n := range 9 { // past the versions that were lost
					z.put("b", fmt.Sprint("new ", n))
				}
				time.Sleep(within)
				if late := z.unaware("b", "new 8", excepted...); late != "" {
					t.Errorf("not known on %s", late)
				}
				if late := z.unaware("a", "old", excepted...); late != "" {
					t.Errorf("what the copy lacks is still believed on %s", late)
				}
				for i := range tc.faults {
					z.vms[i].set(healthy)
				}
				time.Sleep(4 * doubt)
				if late := z.unaware("b", "new 8"); late != "" {
					t.Errorf("not known after the fault on %s", late)
				}
				z.put("b", "newer")
				time.Sleep(within / 2)
				if late := z.unaware("b", "newer"); late != "" {
					t.Errorf("a change after it is not known on %s", late)
				}
			})
		})
	}
}
