package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/contact"
)

// TestZoneCutOffAndEntryPaused partitions a zone of three VMs from the platform and from the other
// zone. Both zones must continue to serve. An edit must stay pending and name the partitioned zone,
// and become active in both zones after the partition ends. Then an entry of the zone is paused
// (see checkPausedEntry).
func TestZoneCutOffAndEntryPaused(t *testing.T) {
	s := newSite(t)
	s.pools = "[pool \"language\"]\nmodels = chat, second\nrole-planning = no\n"
	var links []*tcpProxy
	link := func(target string) string {
		r := newTCPProxy(t, fmt.Sprintf("%s.200:%d", s.net, 7000+len(links)), target)
		links = append(links, r)
		return r.address()
	}
	toPlatform := link(s.platformAddress())
	a := s.addVM("vm1", "a")
	for i := range 3 {
		s.addVM(fmt.Sprintf("vm%d", i+2), "b").platform = toPlatform
	}
	for _, v := range s.vms {
		v.listedAddress = link(v.peers()) // peers of the other zone use the listed address
	}
	s.addEngine("engine-1", "a", "language", "mixed", "checked", "--load", "chat@1", "--load", "second@1")
	s.addEngine("engine-2", "b", "language", "mixed", "checked", "--load", "chat@1", "--load", "second@1")
	s.startAll()
	near, far := s.startLoad(6, s.vms[:1], s.newStream), s.startLoad(9, s.vms[1:], s.newStream)
	near.awaitMore(5)
	far.awaitMore(5)

	for _, l := range links {
		l.setPartitioned(true)
	}
	time.Sleep(contact.RemovalDelay)
	near.awaitMore(10)
	far.awaitMore(10)
	out, code := s.ctlAt(a, "config", "set", "pool language", "max-away", "5", "--author", "e2e", "--wait", "2s")
	if code != 4 || !strings.Contains(out, "zone b") {
		t.Errorf("an edit while zone b is partitioned exited with code %d: %s", code, out)
	}
	far.awaitMore(5)

	for _, l := range links {
		l.setPartitioned(false)
	}
	out, code = s.ctlAt(a, "config", "wait", "--timeout", waitTimeout.String())
	if code != 0 {
		t.Errorf("the edit was not accepted after the partition ended, code %d: %s", code, out)
	}
	for _, v := range s.status(a).Vms {
		if v.Config != 2 || !v.Serving {
			t.Errorf("%s has active version %d, serving %v: %s", v.Name, v.Config, v.Serving, v.Reason)
		}
	}
	far.awaitMore(5)
	s.check(far.stop(), complete)
	s.checkPausedEntry("b", s.vms[1], s.vms[3])
	s.check(near.stop(), complete)
}
