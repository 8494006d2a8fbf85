package entry

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/internal/transcript"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	standinengine "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	standinservice "github.com/springweir/springweir/standin/service"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
)

const apiKey = "trial-key"

// testZoneOptions configure a testZone.
type testZoneOptions struct {
	engines int
	// roles are assigned to the engines in turn; if empty all engines are mixed.
	roles []engine.Role
	// speed is the simulated engine time per second of clock time.
	speed                float64
	balancerDelay, grace time.Duration
	network              network.Network
	listenAt             func(host, port int) string
	members              []membership.VM
	// versions are the loaded versions, assigned to the engines in turn; if empty all have
	// version 1.
	versions []string
	// treeVersion is the model's version in the settings tree; empty means 1.
	treeVersion string
	// log, if set, records the traffic to endpoints and to the claims' table.
	log *transcript.Log
	// extraSettings is appended to the settings tree.
	extraSettings string
}

// testZone is a zone with one entry, stand-in endpoints and a fake platform.
type testZone struct {
	tb       testing.TB
	opts     testZoneOptions
	rows     *memtable.Table
	tree     string
	list     *fakelist.List
	engines  []*standinengine.Server
	services *standinservice.Server
	entry    *Entry
	client   *http.Client
	// stop ends Run, whose result is sent on ended.
	stop  context.CancelFunc
	ended chan error
	close []func()
}

// inMemoryOptions returns options for a zone in virtual time.
func inMemoryOptions() testZoneOptions {
	n := pipenet.NewNetwork()
	return testZoneOptions{
		engines: 2, speed: 1, balancerDelay: 3 * time.Second, grace: time.Minute,
		network:  n.Network(),
		listenAt: func(host, port int) string { return fmt.Sprintf("10.0.0.%d:%d", host, port) },
	}
}

// loopbackOptions returns options for a zone on sockets, whose engines respond without
// delay.
func loopbackOptions(engines int) testZoneOptions {
	return testZoneOptions{
		engines: engines, speed: 1e6, grace: 50 * time.Millisecond, network: network.TCP(),
		listenAt: func(int, int) string { return "127.0.0.1:0" },
	}
}

// newTestZone starts a zone and waits until its entry is ready.
func newTestZone(tb testing.TB, o testZoneOptions) *testZone {
	s := &testZone{
		tb: tb, opts: o, rows: memtable.New(),
		list:     fakelist.New(o.members...),
		services: standinservice.New(standinservice.Normal, 0),
		ended:    make(chan error, 1),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: o.network.Dial}
	s.client = &http.Client{Transport: transport}
	s.close = append(s.close, transport.CloseIdleConnections)
	s.tree = s.startEndpoints()
	objects := memobject.New()
	edit := rollout.Edit{WriteID: "first", Author: "test", Text: []byte(s.tree)}
	if _, err := rollout.NewStore(s.rows, objects).Put(tb.Context(), edit); err != nil {
		tb.Fatal(err)
	}
	p := &settings.Process{
		VM: "vm1", Zone: "a", Callers: o.listenAt(1, 8080), Peers: o.listenAt(1, 7100), Metrics: o.listenAt(1, 7101),
		StopGrace: o.grace, BalancerDelay: o.balancerDelay,
	}
	e, err := NewWithNetwork(o.network, p, Platform{Rows: s.platformRows(), Objects: objects, Members: s.list})
	if err != nil {
		tb.Fatal(err)
	}
	s.entry = e
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.ended <- e.Run(ctx) }()
	s.waitFor("the entry is ready", func() bool { return s.get(e.listeners.metrics, "/readyz") == http.StatusOK && s.allReported() })
	return s
}

// platformRows returns the table that the entry uses.
func (s *testZone) platformRows() table.Service {
	if s.opts.log == nil {
		return s.rows
	}
	return &loggedClaims{Service: s.rows, logged: &transcript.Table{Service: s.rows, Log: s.opts.log}}
}

// startEndpoints starts the endpoints and returns the settings tree.
func (s *testZone) startEndpoints() string {
	var tree strings.Builder
	fmt.Fprintf(&tree, `[zone "a"]
[zone "b"]
[pool "language"]
models = chat
[service "slots"]
[service "rates"]
repeatable = yes
[model "chat"]
version = %s
[organisation "trial"]
key-hashes = %s
token-rate = 0/s
concurrency = 100000
`, cmp.Or(s.opts.treeVersion, "1"), keyHash())
	add := func(name, owner string, port int, h http.Handler) {
		fmt.Fprintf(&tree, "[endpoint %q]\nzone = a\n%s\naddress = %s\n", name, owner, s.listenFor(h, s.opts.listenAt(2, port)))
	}
	for i := range s.opts.engines {
		e := standinengine.New(s.engineOptions(i))
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		s.close = append(s.close, cancel)
		s.engines = append(s.engines, e)
		add(engineName(i), "pool = language", 9000+i, logWork(s.opts.log, transcript.Entry, e))
	}
	add("slots-1", "service = slots", 9500, logWork(s.opts.log, transcript.Entry, s.services))
	add("rates-1", "service = rates", 9501, s.services)
	tree.WriteString(s.opts.extraSettings)
	return tree.String()
}

func (s *testZone) engineOptions(i int) standinengine.Options {
	o := standinengine.Options{
		Address: s.opts.listenAt(2, 9000+i), Incarnation: fmt.Sprint("life", i),
		Role: engine.Mixed, Speed: s.opts.speed, Params: enginemodel.DefaultParams(),
		Loaded: []weightstore.Artifact{{Model: "chat", Version: "1"}}, Fetch: s.client,
	}
	if len(s.opts.roles) > 0 {
		o.Role = s.opts.roles[i%len(s.opts.roles)]
	}
	if len(s.opts.versions) > 0 {
		o.Loaded[0].Version = s.opts.versions[i%len(s.opts.versions)]
	}
	return o
}

func (s *testZone) listenFor(h http.Handler, address string) string {
	l, err := s.opts.network.Listen(address)
	if err != nil {
		s.tb.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.close = append(s.close, func() { _ = server.Close() })
	return s.addressOf(l, address)
}

// addressOf returns the address of a listener: the bound address of a socket, or the
// requested one.
func (s *testZone) addressOf(l net.Listener, requested string) string {
	if s.opts.network.Dial == nil {
		return l.Addr().String()
	}
	return requested
}

func keyHash() string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// allReported reports whether all endpoints are in the snapshot and available.
func (s *testZone) allReported() bool {
	all := s.entry.common.store.Snapshot().Endpoints()
	for _, e := range all {
		if !e.Available() {
			return false
		}
	}
	return len(all) == len(s.entry.cat.current.Load().endpoints())
}

// waitFor waits for a condition. Its limit of a minute is far beyond any regular delay.
func (s *testZone) waitFor(what string, condition func() bool) {
	s.tb.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.tb.Fatalf("timed out waiting until %s", what)
}

// shutDown performs a planned stop of the entry and then stops everything else.
func (s *testZone) shutDown() {
	s.tb.Helper()
	s.stop()
	if err := <-s.ended; err != nil {
		s.tb.Errorf("Run: %v", err)
	}
	for _, f := range s.close {
		f()
	}
}

// url returns the base URL of a listener of the entry.
func (s *testZone) url(l net.Listener) string {
	for _, binding := range []struct {
		l       net.Listener
		address string
	}{
		{s.entry.listeners.callers, s.entry.process.Callers},
		{s.entry.listeners.peers, s.entry.process.Peers},
	} {
		if binding.l == l {
			return "http://" + s.addressOf(l, binding.address)
		}
	}
	return "http://" + s.addressOf(l, s.entry.process.Metrics)
}

func (s *testZone) get(l net.Listener, path string) int {
	resp, err := s.client.Get(s.url(l) + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// request is one request of a caller.
type request struct {
	method, path, body string
	header             map[string]string
	// to is the listener that it is sent to; nil means the callers' listener.
	to net.Listener
	// at, if set, is an address that overrides to.
	at string
}

// do makes a request and reads as much of the response as arrives.
func (s *testZone) do(ctx context.Context, r request) (status int, body string, err error) {
	to := s.entry.listeners.callers
	if r.to != nil {
		to = r.to
	}
	base := s.url(to)
	if r.at != "" {
		base = "http://" + r.at
	}
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func chatRequest(prompt string, maxTokens int, stream bool) request {
	return request{
		method: http.MethodPost, path: "/v1/chat/completions",
		body: fmt.Sprintf(`{"model":"chat","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, maxTokens, stream, prompt),
	}
}

func engineName(i int) string { return fmt.Sprint("engine-", i) }
