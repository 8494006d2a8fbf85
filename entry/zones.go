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
	// roomPollInterval is how often one entry of each other zone is polled for its offered
	// capacity, and roomPollPerZone the interval per zone where there are many. With six
	// zones a summary is up to 2 s old before it is replaced; routing uses it for 3 s
	// (routing.SpillConfig).
	roomPollInterval = time.Second
	roomPollPerZone  = 400 * time.Millisecond
	// roomPollTimeout bounds one poll.
	roomPollTimeout = 500 * time.Millisecond
	// roomPollWorkers bounds the number of zones polled concurrently.
	roomPollWorkers = 8
)

// remoteZones holds the entries of the other availability zones, from the membership list,
// and the capacity that each zone last offered. It is safe for concurrent use; mu is a leaf
// lock and is not held during polls.
type remoteZones struct {
	localZone string
	transport *http.Transport
	now       func() time.Duration

	mu        sync.Mutex
	entries   map[string][]remoteEntry
	summaries map[string]*zoneOffer
}

// remoteEntry is an entry of another zone.
type remoteEntry struct {
	name    string
	address string
	target  forward.Peer
}

// zoneOffer is the last summary of a zone and the entry that sent it. Requests spilled into
// the zone are sent to that entry.
type zoneOffer struct {
	summary fleet.ZoneSummary
	from    remoteEntry
	// digest is the digest of the summary's models, as received from the zone.
	digest uint64
}

// pollIntervalFor returns the interval at which each of so many other zones is polled.
func pollIntervalFor(zones int) time.Duration {
	return max(roomPollInterval, time.Duration(zones)*roomPollPerZone)
}

func newRemoteZones(localZone string, n network.Network, now func() time.Duration) *remoteZones {
	return &remoteZones{
		localZone: localZone, now: now, transport: n.ApplyTo(forward.NewPeerTransport()),
		entries:   map[string][]remoteEntry{},
		summaries: map[string]*zoneOffer{},
	}
}

// setMembers applies a membership list.
func (z *remoteZones) setMembers(vms []membership.VM) {
	next := map[string][]remoteEntry{}
	for _, vm := range vms {
		if vm.Kind != membership.Entry || vm.Zone == z.localZone || vm.Leaving {
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

// entryCount returns the number of entries in the other zones.
func (z *remoteZones) entryCount() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	n := 0
	for _, list := range z.entries {
		n += len(list)
	}
	return n
}

// spillTarget returns the entry of the zone that offered the capacity.
func (z *remoteZones) spillTarget(zone string) (remoteEntry, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	offer := z.summaries[zone]
	if offer == nil || !offer.summary.Reachable {
		return remoteEntry{}, false
	}
	return offer.from, true
}

// zoneSummaries returns the summaries, ordered by zone.
func (z *remoteZones) zoneSummaries() []fleet.ZoneSummary {
	z.mu.Lock()
	defer z.mu.Unlock()
	all := make([]fleet.ZoneSummary, 0, len(z.summaries))
	for _, offer := range z.summaries {
		all = append(all, offer.summary)
	}
	slices.SortFunc(all, func(a, b fleet.ZoneSummary) int { return strings.Compare(a.Zone, b.Zone) })
	return all
}

// Run polls the zones until ctx ends and calls publish with the summaries after each round.
func (z *remoteZones) Run(ctx context.Context, publish func([]fleet.ZoneSummary)) {
	for loop.Sleep(ctx, pollIntervalFor(len(z.sampleEntries()))) {
		z.pollAll(ctx)
		publish(z.zoneSummaries())
	}
}

// pollAll polls one entry of each zone.
func (z *remoteZones) pollAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(roomPollWorkers)
	for zone, entry := range z.sampleEntries() {
		g.Go(func() error {
			z.poll(ctx, zone, entry)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

// sampleEntries returns one entry of each zone, chosen at random.
func (z *remoteZones) sampleEntries() map[string]remoteEntry {
	z.mu.Lock()
	defer z.mu.Unlock()
	chosen := make(map[string]remoteEntry, len(z.entries))
	for zone, list := range z.entries {
		chosen[zone] = list[rand.IntN(len(list))]
	}
	return chosen
}

// poll reads a zone's offered capacity. A zone that does not respond is unreachable until
// one of its entries does.
func (z *remoteZones) poll(ctx context.Context, zone string, from remoteEntry) {
	ctx, cancel := context.WithTimeout(ctx, roomPollTimeout)
	defer cancel()
	requestedAt := z.now()
	cached, digest := z.cachedModels(zone)
	resp, err := peer.ViewAt(from.address, z.transport).Room(ctx, &viewpb.RoomRequest{Held: digest})
	offer := &zoneOffer{summary: fleet.ZoneSummary{Zone: zone, CreatedAt: requestedAt}, from: from}
	if err != nil {
		klog.V(1).Infof("entry: zone %s offered no capacity: %v", zone, err)
	} else {
		offer.digest = resp.Digest
		offer.summary = summaryFrom(zone, requestedAt, z.now()-requestedAt, resp)
		if digest != 0 && resp.Digest == digest {
			offer.summary.Models = cached
		}
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.summaries[zone] = offer
}

// cachedModels returns the models that a zone last listed, with their digest.
func (z *remoteZones) cachedModels(zone string) ([]weightstore.Artifact, uint64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	offer := z.summaries[zone]
	if offer == nil {
		return nil, 0
	}
	return offer.summary.Models, offer.digest
}

func summaryFrom(zone string, requestedAt, rtt time.Duration, r *viewpb.RoomResponse) fleet.ZoneSummary {
	sum := fleet.ZoneSummary{
		Zone: zone, CreatedAt: requestedAt, Reachable: true, RTT: rtt,
		PromptBudget: int(r.Tokens),
		TTFT:         time.Duration(r.TtftUs) * time.Microsecond,
		PerToken:     time.Duration(r.PerTokenUs) * time.Microsecond,
	}
	for _, a := range r.Models {
		sum.Models = append(sum.Models, weightstore.Artifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return sum
}
