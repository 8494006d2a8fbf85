// Package fakefleet provides an in-memory fleet of entry processes, for tests in virtual time.
// The components for contact, rollout and withholding are real; the platform, the network and
// the leases are fakes.
package fakefleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/fakenet"
	"github.com/springweir/springweir/peer/fakepeer"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/withhold"
)

// Fleet is a set of entry processes over an in-memory platform and network. It is driven from
// one goroutine.
type Fleet struct {
	Rows  *memtable.Table
	Store *rollout.Store
	List  *fakelist.List
	Net   *fakenet.Net
	Zones []string
	// Nodes holds the current process of each VM.
	Nodes   map[string]*Node
	Checker *Checker
	// Pusher and Allow can be replaced to break a guard, which the checker must detect.
	Pusher func(rollout.Pusher) rollout.Pusher
	Allow  func(*Node) error

	ctx context.Context
	ids atomic.Uint64
}

// Node is one entry process.
type Node struct {
	Name, Zone string
	Member     *contact.Member
	Applier    *rollout.Applier
	Gate       *withhold.Gate
	Syncer     *rollout.Syncer
	Table      *TableView

	exchanger *peer.Exchanger
	handler   http.Handler
	stop      context.CancelFunc
}

// New returns a fleet whose VMs have been started. They run until ctx ends.
func New(ctx context.Context, vmsPerZone int, zones ...string) *Fleet {
	f := &Fleet{
		ctx: ctx, Rows: memtable.New(), List: fakelist.New(), Net: fakenet.New(),
		Zones: zones, Nodes: map[string]*Node{}, Checker: NewChecker(),
		Pusher: func(p rollout.Pusher) rollout.Pusher { return p },
		Allow:  func(n *Node) error { return n.Member.Allow() },
	}
	f.Store = rollout.NewStore(f.Rows, memobject.New())
	f.Net.SetDelay(time.Millisecond)
	for _, z := range zones {
		for i := range vmsPerZone {
			f.Add(fmt.Sprintf("%s%d", z, i), z)
		}
	}
	return f
}

// Add adds a new VM to the membership list and starts its process.
func (f *Fleet) Add(name, zone string) *Node {
	f.List.Put(membership.VM{Name: name, Kind: membership.Entry, Zone: zone, Address: name})
	return f.Start(name, zone)
}

// StartControllers runs each zone's reconciler and confirmer, on a separate host.
func (f *Fleet) StartControllers() {
	for _, z := range f.Zones {
		client := peer.NewControllerClient(f.Net.Transport(controlHost(z)))
		reconciler := contact.NewReconciler(z, f.Rows, client, f.List, fakepeer.Lease{}, f.NewID)
		confirmer := rollout.NewConfirmer(z, f.Rows, f.Store, f.Pusher(client), fakepeer.Lease{}, reconciler.Suspect, f.NewID)
		go reconciler.Run(f.ctx)
		go confirmer.Run(f.ctx)
	}
}

func controlHost(zone string) string { return "control-" + zone }

// NewID returns a unique ID.
func (f *Fleet) NewID() string { return fmt.Sprint(f.ids.Add(1)) }

// Start starts a new process on a VM.
func (f *Fleet) Start(name, zone string) *Node {
	set := leaving.NewSet()
	n := &Node{Name: name, Zone: zone, Table: &TableView{Service: f.Rows}, Gate: withhold.NewGate(set)}
	if old := f.Nodes[name]; old != nil {
		n.Table.partitioned.Store(old.Table.partitioned.Load())
	}
	n.Member = contact.NewMember(zone, name, n.Gate.ApplyRoster)
	n.Gate.SetPermit(n.Member)
	instance := f.ids.Add(1)
	n.Applier = rollout.NewApplier(func(d rollout.Document) error {
		f.Checker.recordApplied(fmt.Sprintf("%s/%d", name, instance), d.Version)
		return nil
	})
	server := peer.NewServer(peer.ServerConfig{
		Instance: instance, Member: n.Member, Applier: n.Applier,
		Gate: n.Gate, Reports: share.NewReportStore(name), Leaving: set,
	})
	_, n.handler = server.Handler()
	client := peer.NewClient(server, f.Net.Transport(name))
	store := rollout.NewStore(n.Table, memobject.New())
	n.Syncer = rollout.NewSyncer(n.Member, n.Applier, store, n.Table, client, name, f.NewID)
	n.exchanger = peer.NewExchanger(n.Member, n.Syncer, client, seeds(name, zone))
	f.Nodes[name] = n
	f.Resume(name)
	return n
}

// seedCount is how many of a zone's first VMs are seeds in a process's settings.
const seedCount = 3

func seeds(name, zone string) []string {
	var seeds []string
	for i := range seedCount {
		if seed := fmt.Sprintf("%s%d", zone, i); seed != name {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Kill ends the process on a VM.
func (f *Fleet) Kill(name string) {
	f.Nodes[name].stop()
	f.Net.Listen(name, nil)
}

// Remove kills a VM permanently and deletes it from the membership list.
func (f *Fleet) Remove(name string) {
	f.Kill(name)
	f.List.Remove(name)
	delete(f.Nodes, name)
}

// Pause pauses a process: its loops stop and calls to it hang.
func (f *Fleet) Pause(name string) {
	f.Nodes[name].stop()
	f.Net.Listen(name, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
}

// Resume resumes a paused process.
func (f *Fleet) Resume(name string) {
	n := f.Nodes[name]
	ctx, cancel := context.WithCancel(f.ctx)
	n.stop = cancel
	f.Net.Listen(name, n.handler)
	go n.Member.Run(ctx.Done())
	go n.Syncer.RunTable(ctx)
	go n.exchanger.Run(ctx)
}

// Isolate partitions a VM from the table, from all other VMs and from the controllers of all
// zones, or reconnects it.
func (f *Fleet) Isolate(name string, partitioned bool) {
	f.Nodes[name].Table.SetPartitioned(partitioned)
	for _, other := range f.Names() {
		if other != name {
			f.Net.Partition(name, other, partitioned)
		}
	}
	f.PartitionControllers(name, partitioned)
}

// PartitionControllers partitions a VM from the controllers of all zones, or reconnects it.
func (f *Fleet) PartitionControllers(name string, partitioned bool) {
	for _, z := range f.Zones {
		f.Net.Partition(name, controlHost(z), partitioned)
	}
}

// Names returns the names of the VMs, sorted.
func (f *Fleet) Names() []string {
	var names []string
	for name := range f.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Put commits text as the version after the newest.
func (f *Fleet) Put(text string) (rollout.Version, error) {
	head, err := f.Store.Head(f.ctx)
	if err != nil {
		return rollout.None, err
	}
	return f.Store.Put(f.ctx, rollout.Edit{Base: head, WriteID: f.NewID(), Author: "op", Text: []byte(text)})
}

// CheckAccepted reports whether v is accepted, records it if so, and checks the fleet.
func (f *Fleet) CheckAccepted(v rollout.Version) (bool, error) {
	s, err := f.Store.Status(f.ctx, v)
	if err == nil && s.Accepted {
		f.Checker.RecordAccepted(v)
	}
	f.Check()
	return s.Accepted, err
}
