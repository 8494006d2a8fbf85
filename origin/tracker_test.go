package origin

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// testWindow is how long streams can be taken up in these tests.
const testWindow = 20 * time.Second

// testVM is a VM of a testRegion.
type testVM struct {
	*Tracker
	region    *testRegion
	directory *directory.Directory
	address   netip.AddrPort
	// down VMs answer nothing and receive nothing. A VM that is cut off reaches no other VM.
	down, cutOff bool
	downAt       time.Time
	// silence is set once a VM that is cut off presumes that no other one is alive.
	silence bool
	// deaf VMs lose the records that are sent to them.
	deaf bool
	sent int
}

// testRegion is a small region whose VMs send each other records within 10 ms.
type testRegion struct {
	t    *testing.T
	vms  []*testVM
	rows *memtable.Table
	// epoch is the epoch of the store.
	epoch uint64
}

// inRegion runs a test in virtual time with n VMs that know one engine of each version.
func inRegion(t *testing.T, n int, versions []string, f func(r *testRegion)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &testRegion{t: t, rows: memtable.New()}
		for range n {
			r.start(versions...)
		}
		f(r)
	})
}

// start starts a VM that lists one engine of each version.
func (r *testRegion) start(versions ...string) *testVM {
	n := len(r.vms)
	vm := &testVM{region: r, address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n+1))}
	vm.Tracker = New(Config{
		Window: func() time.Duration { return testWindow }, Publish: vm.publish, Peers: vm.peers, Asker: vm, Rows: r.rows, Epoch: func() uint64 { return r.epoch },
	})
	vm.directory = directory.New(func(_, next *directory.Snapshot) { vm.SetEndpoints(next) })
	for _, v := range versions {
		vm.register(v)
	}
	vm.SetCurrent(true)
	r.vms = append(r.vms, vm)
	return vm
}

func (vm *testVM) register(version string) {
	vm.directory.Put(directory.Registration{ID: "i-" + version, Service: "llm", SoftwareVersion: version})
}

func (vm *testVM) deregister(version string) { vm.directory.Remove("i-" + version) }

func (vm *testVM) publish(records ...loadshare.StreamRecord) {
	vm.sent += len(records)
	go func() {
		time.Sleep(10 * time.Millisecond)
		for _, other := range vm.region.vms {
			if other != vm && !other.down && !other.deaf && !vm.cutOff && !other.cutOff {
				other.Receive(records)
			}
		}
	}()
}

// peers returns the other VMs. Those that do not answer are presumed alive, unless they are silent.
func (vm *testVM) peers() (alive []loadshare.Peer, others int) {
	var list []loadshare.Peer
	for i, other := range vm.region.vms {
		if other != vm && !vm.silence && (!other.down || clock.Since(other.downAt) < loadshare.CollectorTimeout) {
			list = append(list, loadshare.Peer{Name: fmt.Sprint("vm", i), Address: other.address})
		}
	}
	return list, len(vm.region.vms) - 1
}

// Find implements Asker.
func (vm *testVM) Find(ctx context.Context, address string, stream uint64, service string) (Answer, error) {
	for _, other := range vm.region.vms {
		if other.address.String() != address {
			continue
		}
		if other.down || other.cutOff || vm.cutOff {
			<-ctx.Done()
			return Answer{}, ctx.Err()
		}
		time.Sleep(2 * time.Millisecond)
		return other.answer(stream, service), nil
	}
	return Answer{}, errors.New("no such VM")
}

var resumableRoute = &routes.Route{Kind: routes.Stream, Resumable: true, Targets: []routes.Target{{Service: "llm", Weight: 1}}}

// begin begins a stream at a VM.
func (vm *testVM) begin(id, version string) {
	vm.Began(&relay.Request{ID: id, Route: resumableRoute, Service: "llm"}, directory.Software{Service: "llm", Version: version})
}

// takeUp takes up a stream at a VM and returns the version found, or the reason of the refusal.
func (vm *testVM) takeUp(origin string) string {
	vm.region.t.Helper()
	start := clock.Now()
	software, failed := vm.Tracker.Find(vm.region.t.Context(), &relay.Request{ID: "again-" + origin, Origin: origin, LastEventID: 1, Route: resumableRoute, Service: "llm"})
	if took := clock.Since(start); took > time.Second {
		vm.region.t.Errorf("%s was decided after %v", origin, took)
	}
	if failed != nil {
		if failed.Ran != failure.NotRun {
			vm.region.t.Errorf("the refusal of %s says %s", origin, failed.Ran)
		}
		return string(failed.Code)
	}
	return software.Version
}

// maintainAll runs the periodic work of all VMs for some time.
func (r *testRegion) maintainAll(d time.Duration) {
	for end := clock.Now().Add(d); clock.Now().Before(end); time.Sleep(publishInterval) {
		for _, vm := range r.vms {
			if !vm.down {
				vm.maintain()
				vm.registerVersions(r.t.Context())
			}
		}
	}
}

func checkVersion(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %s, want %s", what, got, want)
	}
}

// The version of a stream is known at every VM after the one that began it is gone, also at one that
// started later.
func TestVersionIsKnownAfterFirstVMIsGone(t *testing.T) {
	inRegion(t, 4, []string{"v1", "v2"}, func(r *testRegion) {
		for i, version := range []string{"v1", "v2", "v1", "v2"} {
			r.vms[0].begin(fmt.Sprint("s", i), version)
		}
		time.Sleep(20 * time.Millisecond)
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		r.start("v1", "v2")
		for i, want := range []string{"v1", "v2", "v1", "v2"} {
			for n, vm := range r.vms[1:] {
				checkVersion(t, fmt.Sprintf("stream %d at VM %d", i, n+1), vm.takeUp(fmt.Sprint("s", i)), want)
			}
		}
	})
}

// A stream that is taken up before its record has arrived is found at the VM that began it, and one whose
// record is on its way is found a moment later.
func TestTakeUpBeforeRecordArrives(t *testing.T) {
	inRegion(t, 3, []string{"v1", "v2"}, func(r *testRegion) {
		r.vms[0].begin("s", "v2")
		checkVersion(t, "asked", r.vms[1].takeUp("s"), "v2")
		r.vms[0].begin("t", "v1")
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		checkVersion(t, "on its way", r.vms[1].takeUp("t"), "v1")
	})
}

// While there is one version, no records are sent, and streams go on although nobody knows them.
func TestSingleVersionNeedsNoRecords(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		r.vms[0].begin("s", "v1")
		time.Sleep(20 * time.Millisecond)
		if r.vms[0].sent != 0 {
			t.Errorf("%d records were sent", r.vms[0].sent)
		}
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		checkVersion(t, "at another VM", r.vms[1].takeUp("s"), "v1")
		checkVersion(t, "at a VM that has just started", r.start("v1").takeUp("s"), "v1")
	})
}

// Streams that began while there was one version go on after a second one has appeared, whichever VM
// learns of it first.
func TestSecondVersionAppears(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		r.vms[0].begin("s", "v1")
		r.vms[1].register("v2")
		r.vms[1].begin("n", "v2")
		time.Sleep(20 * time.Millisecond)
		checkVersion(t, "unrecorded stream where v2 is known", r.vms[1].takeUp("s"), "v1")
		checkVersion(t, "stream of v2 where v2 is not known", r.vms[2].takeUp("n"), string(failure.SoftwareGone))
		time.Sleep(700 * time.Millisecond)
		r.vms[0].register("v2")
		r.vms[2].register("v2")
		r.maintainAll(3 * time.Second)
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		checkVersion(t, "recorded when v2 appeared", r.vms[2].takeUp("s"), "v1")
		checkVersion(t, "stream of v2", r.vms[2].takeUp("n"), "v2")
	})
}

// A stream that began on a version which has been replaced is not continued on the new one.
func TestReplacedVersionIsRemembered(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		r.vms[0].begin("s", "v1")
		for _, vm := range r.vms {
			vm.register("v2")
			vm.deregister("v1")
			vm.deaf = true
		}
		r.maintainAll(testWindow / 2)
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		checkVersion(t, "at a VM that knew v1", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
		checkVersion(t, "at a VM that has never seen v1", r.start("v2").takeUp("s"), string(failure.OriginUnknown))
		r.maintainAll(2 * testWindow)
		r.vms[1].begin("n", "v2")
		checkVersion(t, "after a window", r.vms[2].takeUp("n"), "v2")
		time.Sleep(20 * time.Millisecond)
	})
}

// A VM that is cut off cannot know whether there is a second version.
func TestCutOffVMRefuses(t *testing.T) {
	inRegion(t, 4, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		vm := r.vms[3]
		vm.cutOff = true
		vm.begin("own", "v1")
		checkVersion(t, "before its feed is lost", vm.takeUp("s"), string(failure.OriginUnknown))
		vm.silence = true
		checkVersion(t, "when no other VM is heard", vm.takeUp("s"), string(failure.OriginUnknown))
		vm.SetCurrent(false)
		checkVersion(t, "stream of another VM", vm.takeUp("s"), string(failure.OriginUnknown))
		checkVersion(t, "its own stream", vm.takeUp("own"), "v1")
	})
}

// While the store is away for all VMs, none can learn of a second version, and streams go on.
func TestStoreOutageWithSingleVersion(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		r.vms[0].begin("s", "v1")
		for _, vm := range r.vms {
			vm.SetCurrent(false)
		}
		r.vms[0].ledger = newLedger(clock.Now()) // as after a restart
		checkVersion(t, "during the outage", r.vms[1].takeUp("s"), "v1")
		r.vms[2].down, r.vms[2].downAt = true, clock.Now()
		checkVersion(t, "with a VM that does not answer", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
	})
}

// Requests that take up a stream without naming its first request are bound to the only version, if there
// is one.
func TestTakeUpWithoutOrigin(t *testing.T) {
	for _, tc := range []struct {
		versions []string
		want     string
	}{{[]string{"v1"}, "v1"}, {[]string{"v1", "v2"}, string(failure.OriginUnknown)}} {
		inRegion(t, 2, tc.versions, func(r *testRegion) {
			r.maintainAll(testWindow)
			checkVersion(t, fmt.Sprint(tc.versions), r.vms[0].takeUp(""), tc.want)
		})
	}
}

// A route with several services needs records also if each has one version.
func TestSeveralServicesNeedRecords(t *testing.T) {
	inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		split := *resumableRoute
		split.Targets = append(split.Targets, routes.Target{Service: "other", Weight: 1})
		r.vms[0].Began(&relay.Request{ID: "s", Route: &split, Service: "llm"}, directory.Software{Service: "llm", Version: "v1"})
		time.Sleep(20 * time.Millisecond)
		find := func(origin string) *directory.Software {
			software, _ := r.vms[1].Tracker.Find(r.t.Context(), &relay.Request{Origin: origin, LastEventID: 1, Route: &split, Service: "other"})
			return software
		}
		if diff := cmp.Diff(&directory.Software{Service: "llm", Version: "v1"}, find("s")); diff != "" {
			t.Error(diff)
		}
		if got := find("unknown"); got != nil {
			t.Errorf("an unknown stream is bound to %v", got)
		}
	})
}

// Records are kept for the time in which a stream can be taken up, and renewed when it is.
func TestRecordsAreKeptForWindow(t *testing.T) {
	inRegion(t, 2, []string{"v1", "v2"}, func(r *testRegion) {
		r.vms[0].begin("s", "v1")
		r.maintainAll(testWindow - time.Second)
		checkVersion(t, "within the window", r.vms[1].takeUp("s"), "v1")
		r.vms[1].Began(&relay.Request{ID: "again", Origin: "s", Route: resumableRoute}, directory.Software{Service: "llm", Version: "v1"})
		r.maintainAll(testWindow - time.Second)
		checkVersion(t, "renewed", r.vms[0].takeUp("s"), "v1")
		r.maintainAll(2*testWindow + time.Second)
		checkVersion(t, "after two windows", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
	})
}

// killAll kills all VMs, after which others start that list one engine of each version.
func (r *testRegion) killAll(versions ...string) {
	n := len(r.vms)
	for _, vm := range r.vms {
		vm.down, vm.downAt = true, clock.Now()
	}
	time.Sleep(time.Second)
	r.vms = nil
	for range n {
		r.start(versions...)
	}
}

// Guards against a stream of a new version that goes on at the old one: its records are lost with the VM that began it
// and with those that had them, but the VM that is asked knows that there is a second version.
func TestKnownVersionIsNotRuledOut(t *testing.T) {
	inRegion(t, 4, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow)
		for _, vm := range r.vms {
			vm.register("v2")
			vm.deaf = true
		}
		time.Sleep(100 * time.Millisecond)
		r.vms[0].begin("s", "v2")
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		time.Sleep(300 * time.Millisecond)
		checkVersion(t, "a moment after the version appeared", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
	})
}

// Guards against a stream that goes on at the only version that is left, because neither its record nor the version that
// began it is remembered: its caller comes late, all VMs were killed meanwhile or not.
func TestExpiredRecordIsNoSingleVersion(t *testing.T) {
	for _, kill := range []bool{false, true} {
		inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
			r.maintainAll(testWindow)
			r.vms[0].begin("s", "v1")
			for _, vm := range r.vms {
				vm.register("v2")
			}
			r.maintainAll(time.Second)
			for _, vm := range r.vms {
				vm.deregister("v1")
			}
			if kill {
				r.killAll("v2")
			}
			r.maintainAll(3 * testWindow)
			for n, vm := range r.vms {
				checkVersion(t, fmt.Sprintf("VMs killed: %v, at VM %d", kill, n), vm.takeUp("s"), string(failure.OriginUnknown))
			}
		})
	}
}

// Guards against take-ups that are refused after all VMs were killed, although the service has had one version only.
func TestSingleVersionOutlivesAllVMs(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		r.vms[0].begin("s", "v1")
		r.killAll("v1")
		r.maintainAll(publishInterval)
		checkVersion(t, "after all VMs were killed", r.vms[1].takeUp("s"), "v1")
	})
}

// Guards against a version that came before all VMs were killed and left while they were away: the only one that is
// there may not have begun the stream.
func TestVersionThatLeftWhileAllVMsWereAway(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		for _, vm := range r.vms {
			vm.register("v2")
		}
		r.maintainAll(time.Second)
		r.vms[0].begin("s", "v2")
		r.killAll("v1")
		r.maintainAll(publishInterval)
		checkVersion(t, "at once", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
		r.maintainAll(2 * testWindow)
		checkVersion(t, "after two windows", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
	})
}

// Guards against a VM that was suspended while another version came and began streams, and that then finds no other VM.
func TestSuspendedVMAsksTheStore(t *testing.T) {
	inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		r.vms[0].register("v2")
		r.vms[0].registerVersions(r.t.Context())
		r.vms[1].deaf = true
		r.vms[0].begin("s", "v2")
		r.vms[0].down, r.vms[0].downAt = true, clock.Now()
		time.Sleep(time.Second)
		checkVersion(t, "at the VM that was suspended", r.vms[1].takeUp("s"), string(failure.OriginUnknown))
	})
}

// Guards against a VM that infers the version from a row that it has read before another version came, while neither the
// store nor the only other VM answers it. The loss of its feed does not show yet.
func TestOneOfTwoVMsIsCutOffFromAll(t *testing.T) {
	for _, tc := range []struct {
		name string
		// silence is set if the other VM is not presumed alive any more, and failed if a call to the store failed just before.
		silence, failed bool
	}{{"just cut off", false, false}, {"the other VM is not heard", true, false}, {"the store failed before", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
				r.maintainAll(testWindow + time.Second)
				vm := r.vms[1]
				vm.cutOff, vm.silence = true, tc.silence
				r.vms[0].register("v2")
				r.vms[0].registerVersions(r.t.Context())
				r.vms[0].begin("s", "v2")
				time.Sleep(20 * time.Millisecond)
				r.rows.SetDown(true)
				if tc.failed {
					vm.Tracker.register.refresh(r.t.Context(), "llm")
					r.rows.SetDown(false)
				}
				checkVersion(t, "stream of the other VM", vm.takeUp("s"), string(failure.OriginUnknown))
			})
		})
	}
}

// Guards against VMs of a zone that is cut off from the others and the store, and that take the others to be down and the
// store to be away for all: another version may have come there.
func TestZoneIsCutOffFromAll(t *testing.T) {
	inRegion(t, 4, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		for _, vm := range r.vms[:2] {
			vm.down, vm.downAt = true, clock.Now()
			vm.register("v2")
		}
		r.vms[0].registerVersions(r.t.Context())
		r.rows.SetDown(true)
		for _, vm := range r.vms[2:] {
			vm.SetCurrent(false)
		}
		time.Sleep(10 * time.Second)
		checkVersion(t, "stream of the other zone", r.vms[2].takeUp("s"), string(failure.OriginUnknown))
	})
}

// While the store does not respond, a VM that has read the versions goes on by them, and one that has not refuses.
func TestVersionsWithoutTheStore(t *testing.T) {
	inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		r.rows.SetDown(true)
		checkVersion(t, "at a VM that has read them", r.vms[0].takeUp("s"), "v1")
		r.killAll("v1")
		r.maintainAll(time.Second)
		checkVersion(t, "at a VM that has not", r.vms[0].takeUp("s"), string(failure.OriginUnknown))
	})
}

// Guards against a store that comes back from a backup without the second version: the VMs that know it register it
// again, and VMs that start later learn it.
func TestRestoredStoreLearnsVersions(t *testing.T) {
	inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(testWindow + time.Second)
		backup := r.rows.Backup()
		for _, vm := range r.vms {
			vm.register("v2")
		}
		r.maintainAll(time.Second)
		r.rows.Restore(backup)
		r.epoch++
		r.maintainAll(time.Second)
		r.killAll("v1")
		r.maintainAll(2 * testWindow)
		checkVersion(t, "at a VM that started later", r.vms[0].takeUp("s"), string(failure.OriginUnknown))
	})
}

// A row that cannot be read must not be taken for one that names no versions.
func TestMalformedRegistration(t *testing.T) {
	inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
		key := table.Key{Table: Table, Row: "llm"}
		if _, err := r.rows.Commit(r.t.Context(), table.Txn{Writes: []table.Write{{Key: key, Value: []byte("{")}}}); err != nil {
			t.Fatal(err)
		}
		r.maintainAll(2 * testWindow)
		checkVersion(t, "with a malformed row", r.vms[0].takeUp("s"), string(failure.OriginUnknown))
	})
}

// While the store does not respond, VMs must not call it again and again.
func TestRegisterRetriesSlowly(t *testing.T) {
	inRegion(t, 1, []string{"v1"}, func(r *testRegion) {
		r.rows.SetDown(true)
		before := r.rows.Counts()
		r.maintainAll(10 * time.Second)
		r.vms[0].takeUp("s")
		if calls := r.rows.Counts().Gets - before.Gets; calls < 5 || calls > 11 {
			t.Errorf("%d calls in 10 s", calls)
		}
		r.rows.SetDown(false)
		r.maintainAll(testWindow + 2*time.Second)
		before = r.rows.Counts()
		checkVersion(t, "once the store responds", r.vms[0].takeUp("s"), "v1")
		r.maintainAll(10 * time.Second)
		if calls := r.rows.Counts().Gets - before.Gets; calls > 1 {
			t.Errorf("%d calls in 10 s without a change", calls)
		}
	})
}

// Once a service has had two versions, further ones must not be written, whichever VM has seen which.
func TestThirdVersionIsNotWritten(t *testing.T) {
	inRegion(t, 3, []string{"v1"}, func(r *testRegion) {
		r.maintainAll(time.Second)
		for i, vm := range r.vms {
			vm.register(fmt.Sprint("v", i+2))
		}
		r.maintainAll(2 * time.Second)
		before := r.rows.Counts()
		for i, vm := range r.vms {
			vm.register(fmt.Sprint("v", 9-i))
			vm.deregister("v1")
		}
		r.maintainAll(3 * testWindow)
		if commits := r.rows.Counts().Commits - before.Commits; commits > 0 {
			t.Errorf("%d writes", commits)
		}
	})
}

// configWith returns a configuration whose streams go to the services of each prefix.
func configWith(version uint64, prefixes map[string][]string) *routes.Config {
	c := &routes.Config{Version: version}
	for prefix, services := range prefixes {
		r := routes.Route{Host: "h", Prefix: prefix, Kind: routes.Stream, Resumable: true}
		for _, s := range services {
			r.Targets = append(r.Targets, routes.Target{Service: s, Weight: 1})
		}
		c.Routes = append(c.Routes, r)
	}
	c.Index()
	return c
}

// Guards against a stream that goes on at another service because its route has moved there: the service that the
// route leads to now has one version, and the VM that began the stream is gone, with its record or after it expired.
func TestMovedRouteIsNotInferred(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after map[string][]string
		joined        bool
	}{
		{"the route moves", map[string][]string{"/": {"other"}}, map[string][]string{"/": {"llm"}}, true},
		{"a split ends", map[string][]string{"/": {"llm", "other"}}, map[string][]string{"/": {"llm"}}, true},
		{"a longer prefix comes", map[string][]string{"/": {"other"}}, map[string][]string{"/": {"other"}, "/a/": {"llm"}}, true},
		{"a longer prefix goes", map[string][]string{"/": {"llm"}, "/a/": {"other"}}, map[string][]string{"/": {"llm"}}, true},
		{"nothing moves", map[string][]string{"/": {"llm"}, "/a/": {"other"}}, map[string][]string{"/": {"llm"}, "/a/": {"other"}}, false},
		{"other paths come and go", map[string][]string{"/a/": {"llm"}, "/b/": {"other"}}, map[string][]string{"/a/": {"llm"}, "/c/": {"other"}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inRegion(t, 2, []string{"v1"}, func(r *testRegion) {
				for _, vm := range r.vms {
					vm.SetConfig(configWith(1, tc.before))
				}
				r.maintainAll(testWindow + time.Second)
				for _, vm := range r.vms {
					vm.SetConfig(configWith(2, tc.after))
				}
				want := "v1"
				if tc.joined {
					want = string(failure.OriginUnknown)
				}
				checkVersion(t, "after the change", r.vms[0].takeUp("s"), want)
				r.maintainAll(time.Second)
				r.killAll("v1")
				for _, vm := range r.vms {
					vm.SetConfig(configWith(2, tc.after))
				}
				r.maintainAll(3 * testWindow)
				checkVersion(t, "after all VMs were killed", r.vms[0].takeUp("s"), want)
			})
		})
	}
}
