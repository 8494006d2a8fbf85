package e2e

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/httponce"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/standin/platform"
	"github.com/springweir/springweir/table"
)

const (
	apiKey       = "trial-key"
	organisation = "trial"
	slotService  = "slots"
	// balancerDelay is the time between the failing readiness check and the first refusals.
	balancerDelay = 3 * time.Second
)

// vm is an entry VM: an entry and a controller.
type vm struct {
	name, zone, host string
	// listedAddress is the peer address in the platform's membership list, if it differs from
	// peers().
	listedAddress string
	// platform is the platform's address for this VM.
	platform          string
	entry, controller *process
}

func (v *vm) callers() string   { return v.host + ":8080" }
func (v *vm) peers() string     { return v.host + ":7100" }
func (v *vm) metrics() string   { return v.host + ":7101" }
func (v *vm) operators() string { return v.host + ":8090" }

// endpoint is a stand-in engine or service.
type endpoint struct {
	name, zone, address string
	// pool is empty for the service.
	pool, role, fencing string
	args                []string
	proc                *process
}

// site is a complete installation on a separate loopback network.
type site struct {
	t         *testing.T
	dir, net  string
	platform  *process
	table     *table.Client
	vms       []*vm
	endpoints []*endpoint
	// pools is the text of the pool sections of the settings tree.
	pools string
}

// client is used for the stand-ins, the metrics and the readiness checks.
var client = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// newSite starts the platform of a site.
func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), net: freeNetwork(t), pools: "[pool \"language\"]\nmodels = chat\nrole-planning = no\n"}
	s.platform = start(t, s.dir, "platform", "springweir-standin", "platform", "--listen", s.platformAddress(), "--lag", "500ms")
	s.table = table.NewClient(s.platformAddress(), httponce.Config{})
	t.Cleanup(s.close)
	await(t, "the platform", func() bool { return get(s.platformAddress(), platform.HealthPath, nil) == nil })
	return s
}

// freeNetwork picks a random network 127.x.y whose platform address is free.
func freeNetwork(t *testing.T) string {
	t.Helper()
	for {
		name := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", name+".1:7000")
		if err != nil {
			continue
		}
		_ = l.Close()
		return name
	}
}

func (s *site) platformAddress() string { return s.net + ".1:7000" }

// close ends all processes, and logs the end of their logs if the test failed.
func (s *site) close() {
	all := []*process{s.platform}
	for _, v := range s.vms {
		all = append(all, v.entry, v.controller)
	}
	for _, e := range s.endpoints {
		all = append(all, e.proc)
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		p.end()
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, tail(p.log))
		}
	}
}

// tail returns the last 4 KiB of a log.
func tail(file string) []byte {
	const most = 4 << 10
	text, _ := os.ReadFile(file) // a missing log shows as empty
	return text[max(0, len(text)-most):]
}

// addVM adds an entry VM to the site; startAll starts it.
func (s *site) addVM(name, zone string) *vm {
	v := &vm{name: name, zone: zone, host: fmt.Sprintf("%s.%d", s.net, 11+len(s.vms)), platform: s.platformAddress()}
	s.vms = append(s.vms, v)
	return v
}

// addEngine adds an engine of a pool.
func (s *site) addEngine(name, zone, pool, role, fencing string, args ...string) *endpoint {
	args = append([]string{"engine", "--role", role, "--fencing", fencing, "--report-lag", "100ms"}, args...)
	e := &endpoint{name: name, zone: zone, pool: pool, role: role, fencing: fencing, args: args}
	return s.add(e)
}

// addService adds an endpoint of the service with non-repeatable calls.
func (s *site) addService(name, zone string) *endpoint {
	return s.add(&endpoint{name: name, zone: zone, args: []string{"service"}})
}

func (s *site) add(e *endpoint) *endpoint {
	e.address = fmt.Sprintf("%s.%d:9000", s.net, 51+len(s.endpoints))
	e.args = append(e.args, "--listen", e.address)
	s.endpoints = append(s.endpoints, e)
	return e
}

// startAll starts all endpoints and VMs, commits the settings tree and waits until every VM serves.
func (s *site) startAll() {
	s.t.Helper()
	for _, e := range s.endpoints {
		s.startEndpoint(e)
	}
	for _, v := range s.vms {
		s.register(v, false)
		s.startEntry(v)
		s.startController(v)
	}
	for _, v := range s.vms {
		await(s.t, "operators' API of "+v.name, func() bool { _, code := s.ctlAt(v, "status"); return code == 0 })
	}
	s.commitTree()
	for _, v := range s.vms {
		await(s.t, v.name+" is ready", func() bool { return ready(v) })
	}
	await(s.t, "a complete response by each VM", func() bool {
		for _, v := range s.vms {
			if s.send(v, s.newStream()).kind != complete {
				return false
			}
		}
		return true
	})
}

func (s *site) startEndpoint(e *endpoint) {
	s.t.Helper()
	e.proc = start(s.t, s.dir, e.name, "springweir-standin", e.args...)
	record := "/admin/history"
	if e.pool == "" {
		record = "/admin/runs"
	}
	await(s.t, e.name, func() bool { return get(e.address, record, nil) == nil })
	s.post(s.platformAddress(), platform.VMsPath, membership.VM{
		Name: e.name, Kind: membership.Endpoint, Zone: e.zone, Address: e.address,
	})
}

// register adds a VM to the platform's membership list.
func (s *site) register(v *vm, leaving bool) {
	s.t.Helper()
	address := v.listedAddress
	if address == "" {
		address = v.peers()
	}
	s.post(s.platformAddress(), platform.VMsPath, membership.VM{
		Name: v.name, Kind: membership.Entry, Zone: v.zone, Address: address, Leaving: leaving,
	})
}

func (s *site) startEntry(v *vm) {
	s.t.Helper()
	v.entry = start(s.t, s.dir, "entry-"+v.name, "springweir-entry", "--config", s.settings(v))
}

func (s *site) startController(v *vm) {
	s.t.Helper()
	v.controller = start(s.t, s.dir, "controller-"+v.name, "springweir-controller", "--config", s.settings(v))
}

// settings writes the settings file of a VM and returns its path.
func (s *site) settings(v *vm) string {
	s.t.Helper()
	var seeds []string
	for _, other := range s.vms {
		if other.zone == v.zone {
			seeds = append(seeds, other.peers())
		}
	}
	lines := []string{
		"[process]", "vm = " + v.name, "zone = " + v.zone, "platform = " + v.platform,
		"[entry]", "callers = " + v.callers(), "peers = " + v.peers(), "seeds = " + strings.Join(seeds, ", "),
		"metrics = " + v.metrics(), "balancer-delay = " + balancerDelay.String(), "stop-grace = 1m",
		"[controller]", "peers = " + v.host + ":7200", "operators = " + v.operators(), "metrics = " + v.host + ":7201",
	}
	text := strings.Join(lines, "\n") + "\n"
	// Renamed into place, since another process of the VM may be reading the file.
	file := filepath.Join(s.dir, v.name+".ini")
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// tree returns the text of the settings tree.
func (s *site) tree() string {
	var b strings.Builder
	zones := map[string]bool{}
	for _, v := range s.vms {
		if !zones[v.zone] {
			fmt.Fprintf(&b, "[zone %q]\n", v.zone)
		}
		zones[v.zone] = true
	}
	b.WriteString(s.pools)
	fmt.Fprintf(&b, "[service %q]\n", slotService)
	for _, e := range s.endpoints {
		fmt.Fprintf(&b, "[endpoint %q]\nzone = %s\naddress = %s\n", e.name, e.zone, e.address)
		if e.pool == "" {
			fmt.Fprintf(&b, "service = %s\n", slotService)
		} else {
			fmt.Fprintf(&b, "pool = %s\nfencing = %s\n", e.pool, e.fencing)
		}
	}
	fmt.Fprintf(&b, "[organisation %q]\nkey-hashes = %x\nconcurrency = 1000\n", organisation, sha256.Sum256([]byte(apiKey)))
	for _, m := range []string{"chat", "second"} {
		fmt.Fprintf(&b, "[model %q]\nversion = 1\n", m)
	}
	return b.String()
}

// commitTree commits the tree as the first version.
func (s *site) commitTree() {
	s.t.Helper()
	file := filepath.Join(s.dir, "tree.ini")
	if err := os.WriteFile(file, []byte(s.tree()), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.mustCtl("config", "put", file, "--base", "0", "--author", "e2e", "--wait", waitTimeout.String())
}
