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

// siteOptions describe a zone with one entry.
type siteOptions struct {
	engines int
	// roles are those of the engines in turn; none makes all mixed.
	roles []engine.Role
	// speed is model seconds a second.
	speed                float64
	balancerDelay, grace time.Duration
	network              network.Network
	listenAt             func(host, port int) string
	members              []membership.VM
	// versions are those that the engines in turn have loaded; none makes all 1.
	versions []string
	// wanted is the version that the tree names; empty is 1.
	wanted string
	// log, if set, records what goes to endpoints and to the claims' table.
	log *transcript.Log
	// more is appended to the tree.
	more string
}

// site is a zone with one entry, stand-ins as its endpoints, and fakes as its
// platform.
type site struct {
	tb       testing.TB
	opts     siteOptions
	rows     *memtable.Table
	tree     string
	list     *fakelist.List
	engines  []*standinengine.Server
	services *standinservice.Server
	entry    *Entry
	client   *http.Client
	// stop ends Run, whose result comes on ended.
	stop  context.CancelFunc
	ended chan error
	close []func()
}

// inMemory is a site for virtual time.
func inMemory() siteOptions {
	n := pipenet.NewNetwork()
	return siteOptions{
		engines: 2, speed: 1, balancerDelay: 3 * time.Second, grace: time.Minute,
		network:  n.Network(),
		listenAt: func(host, port int) string { return fmt.Sprintf("10.0.0.%d:%d", host, port) },
	}
}

// onLoopback is a site on sockets, with engines that take no time.
func onLoopback(engines int) siteOptions {
	return siteOptions{
		engines: engines, speed: 1e6, grace: 50 * time.Millisecond, network: network.TCP(),
		listenAt: func(int, int) string { return "127.0.0.1:0" },
	}
}

// newSite starts a site and waits until its entry is ready.
func newSite(tb testing.TB, o siteOptions) *site {
	s := &site{
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
	s.await("the entry is ready", func() bool { return s.get(e.listeners.metrics, "/readyz") == http.StatusOK && s.known() })
	return s
}

// platformRows is the table as the entry gets it.
func (s *site) platformRows() table.Service {
	if s.opts.log == nil {
		return s.rows
	}
	return &loggedClaims{Service: s.rows, logged: &transcript.Table{Service: s.rows, Log: s.opts.log}}
}

// startEndpoints starts the endpoints and returns the settings tree.
func (s *site) startEndpoints() string {
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
`, cmp.Or(s.opts.wanted, "1"), keyHash())
	add := func(name, of string, port int, h http.Handler) {
		fmt.Fprintf(&tree, "[endpoint %q]\nzone = a\n%s\naddress = %s\n", name, of, s.listenFor(h, s.opts.listenAt(2, port)))
	}
	for i := range s.opts.engines {
		e := standinengine.New(s.engineOptions(i))
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		s.close = append(s.close, cancel)
		s.engines = append(s.engines, e)
		add(engineName(i), "pool = language", 9000+i, logged(s.opts.log, transcript.Entry, e))
	}
	add("slots-1", "service = slots", 9500, logged(s.opts.log, transcript.Entry, s.services))
	add("rates-1", "service = rates", 9501, s.services)
	tree.WriteString(s.opts.more)
	return tree.String()
}

func (s *site) engineOptions(i int) standinengine.Options {
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

func (s *site) listenFor(h http.Handler, address string) string {
	l, err := s.opts.network.Listen(address)
	if err != nil {
		s.tb.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.close = append(s.close, func() { _ = server.Close() })
	return s.addressOf(l, address)
}

// addressOf is where a listener is reached: a socket says so itself.
func (s *site) addressOf(l net.Listener, asked string) string {
	if s.opts.network.Dial == nil {
		return l.Addr().String()
	}
	return asked
}

func keyHash() string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// known tells whether every engine has reported.
func (s *site) known() bool {
	all := s.entry.common.store.Snapshot().Endpoints()
	for _, e := range all {
		if !e.Available() {
			return false
		}
	}
	return len(all) == len(s.entry.cat.current.Load().endpoints())
}

// await waits for a condition. Its limit is far beyond anything that is right.
func (s *site) await(what string, holds func() bool) {
	s.tb.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.tb.Fatalf("gave up waiting until %s", what)
}

// shutDown stops the entry by plan and then all else.
func (s *site) shutDown() {
	s.tb.Helper()
	s.stop()
	if err := <-s.ended; err != nil {
		s.tb.Errorf("Run: %v", err)
	}
	for _, f := range s.close {
		f()
	}
}

// url is where a listener of the entry is reached.
func (s *site) url(l net.Listener) string {
	for _, pair := range []struct {
		l       net.Listener
		address string
	}{
		{s.entry.listeners.callers, s.entry.process.Callers},
		{s.entry.listeners.peers, s.entry.process.Peers},
	} {
		if pair.l == l {
			return "http://" + s.addressOf(l, pair.address)
		}
	}
	return "http://" + s.addressOf(l, s.entry.process.Metrics)
}

func (s *site) get(l net.Listener, path string) int {
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
	// to is where it is sent; nil is where callers send.
	to net.Listener
	// at, if set, is an address to send it to instead.
	at string
}

// do makes a request and reads the answer, as far as it comes.
func (s *site) do(ctx context.Context, r request) (status int, body string, err error) {
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
