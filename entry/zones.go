package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/weightstore"
)

const (
	// roomInterval is how often one entry of each other zone is asked for room,
	// and roomPerZone the time between two questions where there are many zones.
	// At six zones a summary is 2 s old before it is replaced, of the 3 s for
	// which routing believes it (routing.SpillConfig).
	roomInterval = time.Second
	roomPerZone  = 400 * time.Millisecond
	// roomTimeout bounds one question.
	roomTimeout = 500 * time.Millisecond
	// roomAskers bounds the zones asked at the same time.
	roomAskers = 8
)

// zoneBook knows the entries of the other availability zones, from the
// membership list, and how much room each zone last said it has. It is safe for
// concurrent use; mu is a leaf and is not held while an entry is asked.
type zoneBook struct {
	own       string
	transport *http.Transport
	now       func() time.Duration

	mu        sync.Mutex
	entries   map[string][]remoteEntry
	summaries map[string]*zoneRoom
}

// remoteEntry is an entry of another zone.
type remoteEntry struct {
	name    string
	address string
	target  forward.Peer
}

// zoneRoom is the last summary of a zone and the entry that gave it: what the
// zone offered is sent to that entry.
type zoneRoom struct {
	summary fleet.ZoneSummary
	from    remoteEntry
	// digest is that of the summary's models, as the zone gave it.
	digest uint64
}

// roomEvery is how often each zone is asked when there are so many others.
func roomEvery(zones int) time.Duration {
	return max(roomInterval, time.Duration(zones)*roomPerZone)
}

func newZoneBook(own string, n network.Network, now func() time.Duration) *zoneBook {
	return &zoneBook{
		own: own, now: now, transport: n.Over(forward.NewPeerTransport()),
		entries:   map[string][]remoteEntry{},
		summaries: map[string]*zoneRoom{},
	}
}

// setList takes over a membership list.
func (z *zoneBook) setList(vms []membership.VM) {
	next := map[string][]remoteEntry{}
	for _, vm := range vms {
		if vm.Kind != membership.Entry || vm.Zone == z.own || vm.Leaving {
			continue
		}
		next[vm.Zone] = append(next[vm.Zone], remoteEntry{
			name: vm.Name, address: vm.Address,
			target: forward.NewPeerTarget(vm.Address, z.transport),
		})
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.entries = next
}

// entriesElsewhere is the number of entries of the other zones.
func (z *zoneBook) entriesElsewhere() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	n := 0
	for _, list := range z.entries {
		n += len(list)
	}
	return n
}

// entry returns the entry of the zone that offered the room.
func (z *zoneBook) entry(zone string) (remoteEntry, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	room := z.summaries[zone]
	if room == nil || !room.summary.Reachable {
		return remoteEntry{}, false
	}
	return room.from, true
}

// list returns the summaries, by zone.
func (z *zoneBook) list() []fleet.ZoneSummary {
	z.mu.Lock()
	defer z.mu.Unlock()
	all := make([]fleet.ZoneSummary, 0, len(z.summaries))
	for _, room := range z.summaries {
		all = append(all, room.summary)
	}
	slices.SortFunc(all, func(a, b fleet.ZoneSummary) int { return strings.Compare(a.Zone, b.Zone) })
	return all
}

// Run asks for room until ctx ends and gives the summaries to tell.
func (z *zoneBook) Run(ctx context.Context, tell func([]fleet.ZoneSummary)) {
	for loop.Sleep(ctx, roomEvery(len(z.partners()))) {
		z.askAll(ctx)
		tell(z.list())
	}
}

// askAll asks one entry of each zone.
func (z *zoneBook) askAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(roomAskers)
	for zone, entry := range z.partners() {
		g.Go(func() error {
			z.ask(ctx, zone, entry)
			return nil
		})
	}
	_ = g.Wait() // the askers return no error
}

// partners are one entry of each zone, chosen at random.
func (z *zoneBook) partners() map[string]remoteEntry {
	z.mu.Lock()
	defer z.mu.Unlock()
	chosen := make(map[string]remoteEntry, len(z.entries))
	for zone, list := range z.entries {
		chosen[zone] = list[rand.IntN(len(list))]
	}
	return chosen
}

// ask reads a zone's room. A zone that does not answer is unreachable until one
// of its entries does.
func (z *zoneBook) ask(ctx context.Context, zone string, from remoteEntry) {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	asked := z.now()
	held, digest := z.models(zone)
	resp, err := peer.ViewAt(from.address, z.transport).Room(ctx, &viewpb.RoomRequest{Held: digest})
	room := &zoneRoom{summary: fleet.ZoneSummary{Zone: zone, CreatedAt: asked}, from: from}
	if err != nil {
		klog.V(1).Infof("entry: zone %s gives no room: %v", zone, err)
	} else {
		room.digest = resp.Digest
		room.summary = summaryFrom(zone, asked, z.now()-asked, resp)
		if digest != 0 && resp.Digest == digest {
			room.summary.Models = held
		}
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.summaries[zone] = room
}

// models returns the models that a zone last named, with their digest.
func (z *zoneBook) models(zone string) ([]weightstore.Artifact, uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	room := z.summaries[zone]
	if room == nil {
		return nil, 0
	}
	return room.summary.Models, room.digest
}

func summaryFrom(zone string, asked, rtt time.Duration, r *viewpb.RoomResponse) fleet.ZoneSummary {
	sum := fleet.ZoneSummary{
		Zone: zone, CreatedAt: asked, Reachable: true, RTT: rtt,
		PromptBudget: int(r.Tokens),
		TTFT:         time.Duration(r.TtftUs) * time.Microsecond,
		PerToken:     time.Duration(r.PerTokenUs) * time.Microsecond,
	}
	for _, a := range r.Models {
		sum.Models = append(sum.Models, weightstore.Artifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return sum
}
