package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
)

// key names what requests with the same shared parts have in common.
func (d *decision) key(chunks []chunk) uint32 {
	switch n := len(chunks); n {
	case 0:
		return loadshare.Hash(d.r.ID)
	case 1:
		return chunks[0].id
	default:
		return chunks[n-2].id
	}
}

// role returns the engines of a role, as a slice of its own. Those that refused just
// now and those of a zone that seems cut off are left out, unless there are no
// others: a choice among a few must not find none but these.
func (d *decision) role(role engine.Role) []*directory.Endpoint {
	var all, good []*directory.Endpoint
	for _, e := range d.endpoints {
		if (e.Role == engine.Prefill) != (role == engine.Prefill) {
			continue
		}
		all = append(all, e)
		if d.pause(d.p.books.of(e)) == 0 && (e.Zone == d.p.zone || !d.p.zones.cut(d.now, e.Zone)) {
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		return all
	}
	return good
}

// inZone returns those of the engines that are in an availability zone, as a slice of
// its own.
func inZone(engines []*directory.Endpoint, zone string) []*directory.Endpoint {
	var list []*directory.Endpoint
	for _, e := range engines {
		if e.Zone == zone {
			list = append(list, e)
		}
	}
	return list
}

// newsPerChoice is the age of news for which one engine more than the first is looked at.
// An engine that prefills gets a prompt each 20 ms in a burst: what is older says little of
// it, and the VMs that compare engines by it all choose the same ones. In the load of
// TestReplayOfABurstWithLateNews one choice instead of three served 0.90 and 0.98 of the
// burst's halves in time, not 0.73 and 0.88; with news of 10 ms three serve 0.02 more.
const newsPerChoice = 30 * time.Millisecond

// choices is the number of engines that are compared: as many as the news of other VMs
// is fresh enough to tell apart.
func (d *decision) choices() int {
	most := d.p.tuning.Choices
	gap := d.p.books.newsGap
	if gap <= 0 {
		return most
	}
	return min(most, 1+int(newsPerChoice/gap))
}

// drawn returns a few of the engines at random: when every VM looks for the
// least loaded of all, those that look at the same moment find the same one.
func (d *decision) drawn(engines []*directory.Endpoint) []*directory.Endpoint {
	n := min(len(engines), d.choices())
	for i := range n {
		j := i + d.p.random.IntN(len(engines)-i)
		engines[i], engines[j] = engines[j], engines[i]
	}
	return d.withLimited(engines[:n], engines[n:])
}

// linkWait is how long the VM's link is busy with requests placed before.
func (d *decision) linkWait() time.Duration { return d.p.uplink.wait(d.now) }

// pause is how long an endpoint that refused is still to be left alone.
func (d *decision) pause(k *book) time.Duration { return max(0, k.pausedUntil.Sub(d.now)) }
