package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table/memtable"
)

// maxLag is how long a change of the endpoints takes to reach a VM at most.
const maxLag = 700 * time.Millisecond

// model is a region whose engines are replaced by others of further versions, while VMs are killed, started
// and cut off, and streams begin and are taken up.
type model struct {
	*testRegion
	rng *rand.Rand
	// calm is set if versions change seldom, so that there is only one for longer than records are kept.
	calm bool
	// serving are the versions that are registered. A VM learns of changes within maxLag, unless it is cut off.
	serving []string
	next    int
	// streams holds the versions of the streams by ID, and order their IDs.
	streams map[string]string
	began   map[string]time.Time
	order   []string
	known   map[*testVM]map[string]bool
	results map[string]int
}

// publishChange makes the VMs learn that a version has appeared or disappeared.
func (m *model) publishChange(version string, appears bool) {
	for _, vm := range m.vms {
		time.AfterFunc(time.Duration(m.rng.Int64N(int64(maxLag))), func() { m.learn(vm, version, appears) })
	}
}

func (m *model) learn(vm *testVM, version string, appears bool) {
	switch {
	case vm.down:
	case vm.cutOff:
		time.AfterFunc(500*time.Millisecond, func() { m.learn(vm, version, appears) })
	case appears:
		vm.register(version)
		m.known[vm][version] = true
	default:
		vm.deregister(version)
		delete(m.known[vm], version)
	}
}

// live returns a VM that is neither down nor cut off, or nil.
func (m *model) live() *testVM {
	for range 20 {
		if vm := m.vms[m.rng.IntN(len(m.vms))]; !vm.down && !vm.cutOff {
			return vm
		}
	}
	return nil
}

// step does one thing at random.
func (m *model) step() {
	action := m.rng.IntN(30)
	if m.calm && action < 2 && m.rng.IntN(8) > 0 {
		return
	}
	switch action {
	case 0:
		if len(m.serving) < 3 {
			m.next++
			version := fmt.Sprint("v", m.next)
			m.serving = append(m.serving, version)
			m.publishChange(version, true)
		}
	case 1:
		if len(m.serving) > 1 {
			i := m.rng.IntN(len(m.serving))
			m.publishChange(m.serving[i], false)
			m.serving = append(m.serving[:i:i], m.serving[i+1:]...)
		}
	case 2:
		if vm := m.live(); vm != nil {
			vm.down, vm.downAt = true, clock.Now()
			m.known[m.start(m.serving...)] = setOf(m.serving)
		}
	case 3:
		if vm := m.live(); vm != nil {
			vm.cutOff = true
			time.AfterFunc(2*time.Second, func() { vm.SetCurrent(false) })
			time.AfterFunc(4*time.Second, func() { vm.cutOff = false; vm.SetCurrent(true) })
		}
	case 4:
		if m.rng.IntN(10) == 0 {
			m.killAll()
		}
	case 5, 6, 7, 8, 9, 10, 11, 12:
		m.takeUpOne()
	default:
		m.beginOne()
	}
}

// killAll kills all VMs at once, as many of which start again while versions may come and go.
func (m *model) killAll() {
	n := 0
	for _, vm := range m.vms {
		if !vm.down {
			vm.down, vm.downAt = true, clock.Now()
			n++
		}
	}
	if len(m.serving) > 1 && m.rng.IntN(2) == 0 {
		m.serving = m.serving[1:]
	}
	time.Sleep(time.Second)
	m.vms = nil
	for range n {
		m.known[m.start(m.serving...)] = setOf(m.serving)
	}
}

func setOf(list []string) map[string]bool {
	set := map[string]bool{}
	for _, s := range list {
		set[s] = true
	}
	return set
}

// beginOne begins a stream at any VM that is up, on a version that it knows.
func (m *model) beginOne() {
	vm := m.vms[m.rng.IntN(len(m.vms))]
	if vm.down {
		return
	}
	for version := range m.known[vm] {
		id := fmt.Sprint("s", len(m.order))
		m.order = append(m.order, id)
		m.streams[id], m.began[id] = version, clock.Now()
		vm.begin(id, version)
		return
	}
}

// takeUpOne takes up one of the last streams at any VM that is up.
func (m *model) takeUpOne() {
	vm := m.vms[m.rng.IntN(len(m.vms))]
	if vm.down || len(m.order) == 0 {
		return
	}
	id := m.order[max(0, len(m.order)-1-m.rng.IntN(30))]
	if m.rng.IntN(20) == 0 {
		id = m.order[m.rng.IntN(len(m.order))] // perhaps later than its record is kept
	}
	late := clock.Since(m.began[id]) > testWindow-time.Second
	got := vm.takeUp(id)
	switch want := m.streams[id]; {
	case got == want && late:
		m.results["went on, late"]++
	case got == want:
		m.results["went on"]++
	case got[0] == 'v':
		m.results["mixed"]++
		m.t.Errorf("stream %s of %s goes on at %s", id, want, got)
	case late:
		m.results[got+", late"]++
	default:
		m.results[got]++
	}
}

// Guards against a VM that continues a stream at another version, whatever happens to VMs: it continues at the
// right one or refuses.
func TestStreamsNeverChangeVersion(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			m := &model{
				testRegion: &testRegion{t: t, rows: memtable.New()}, rng: rand.New(rand.NewPCG(seed, 0)), calm: seed%3 == 0, serving: []string{"v0"},
				streams: map[string]string{}, began: map[string]time.Time{}, known: map[*testVM]map[string]bool{}, results: total,
			}
			for range 5 {
				m.known[m.start("v0")] = setOf(m.serving)
			}
			if seed%2 == 0 {
				m.maintainAll(testWindow)
			}
			for end := clock.Now().Add(time.Minute); clock.Now().Before(end); {
				m.step()
				m.maintainAll(time.Duration(m.rng.IntN(300)) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Log(total)
	if total["went on"] < 1000 {
		t.Errorf("only %d streams went on", total["went on"])
	}
}
