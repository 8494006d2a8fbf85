package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/entry"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/object/memobject"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	standinengine "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
	"github.com/springweir/springweir/weightstore/fakestore"
)

const apiKey = "trial-key"

// testZone is a zone of two VMs, each with an entry and a controller, and stand-in engines. It runs
// in memory and in virtual time.
type testZone struct {
	t       *testing.T
	net     *pipenet.Network
	rows    *memtable.Table
	objects *memobject.Store
	list    *fakelist.List
	weights *fakestore.Store
	engines map[string]*standinengine.Server
	vms     []*vm
	client  *http.Client
	// tree is the first version of the settings.
	tree  string
	close []func()
	// rewire, if set, changes a controller before it runs.
	rewire func(*Controller)
}

// vm is an entry VM.
type vm struct {
	entry          *entry.Entry
	controller     *Controller
	stopEntry      context.CancelFunc
	stopController context.CancelFunc
	ended          chan error
}

// engineSpec describes an engine of the zone.
type engineSpec struct {
	name   string
	role   engine.Role
	loaded []weightstore.Artifact
}

var chat = weightstore.Artifact{Model: "chat", Version: "1"}

// newZone starts a zone. extra is appended to the sections of the tree that every test needs.
func newZone(t *testing.T, extra string, engines ...engineSpec) *testZone {
	return newRewiredZone(t, nil, extra, engines...)
}

func newRewiredZone(t *testing.T, rewire func(*Controller), extra string, engines ...engineSpec) *testZone {
	n := pipenet.NewNetwork()
	limits := weightstore.Limits{BytesPerSecond: 1 << 30, Concurrent: 2, Window: time.Second}
	z := &testZone{
		t: t, net: n, rows: memtable.New(), objects: memobject.New(), rewire: rewire,
		weights: fakestore.New(limits, 1<<30),
		engines: map[string]*standinengine.Server{},
		client:  &http.Client{Transport: &http.Transport{DialContext: n.Dial}},
	}
	sum := sha256.Sum256([]byte(apiKey))
	tree := "[zone \"a\"]\n[organisation \"trial\"]\nkey-hashes = " + hex.EncodeToString(sum[:]) + "\n" + extra
	var listed []membership.VM
	for i, e := range engines {
		address := fmt.Sprintf("10.0.2.%d:9000", i+1)
		z.startEngine(e, address)
		listed = append(listed, membership.VM{Name: e.name, Kind: membership.Endpoint, Zone: "a", Address: address})
	}
	for i := range 2 {
		listed = append(listed, membership.VM{
			Name: fmt.Sprintf("vm%d", i+1), Kind: membership.Entry, Zone: "a", Address: fmt.Sprintf("10.0.1.%d:7100", i+1),
		})
	}
	z.list = fakelist.New(listed...)
	z.tree = tree
	z.edit(0, tree)
	for i := range 2 {
		z.startVM(i + 1)
	}
	z.await("both VMs serve", func() bool { return z.ready(1) && z.ready(2) })
	return z
}

func (z *testZone) startEngine(spec engineSpec, address string) {
	e := standinengine.New(standinengine.Options{
		Address: address, Incarnation: spec.name + "-life", Role: spec.role, Loaded: spec.loaded,
		Params: enginemodel.DefaultParams(), Fetch: z.client,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	l, err := z.net.Listen(address)
	if err != nil {
		z.t.Fatal(err)
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	z.close = append(z.close, cancel, func() { _ = server.Close() })
	z.engines[spec.name] = e
}

func (z *testZone) startVM(n int) {
	host := fmt.Sprintf("10.0.1.%d", n)
	p := &settings.Process{
		VM: fmt.Sprintf("vm%d", n), Zone: "a", Callers: host + ":8080", Peers: host + ":7100", Metrics: host + ":7101",
		Advertise: host + ":7100", Operators: host + ":8090", StopGrace: time.Minute, BalancerDelay: time.Second,
	}
	cp := *p
	cp.Peers, cp.Advertise, cp.Metrics = host+":7200", host+":7200", host+":7201"
	e, err := entry.NewWithNetwork(z.net.Network(), p, entry.Platform{Rows: z.rows, Objects: z.objects, Members: z.list})
	if err != nil {
		z.t.Fatal(err)
	}
	c, err := NewOn(z.net.Network(), &cp, p.Peers, Platform{Rows: z.rows, Objects: z.objects, Members: z.list, Weights: z.weights})
	if err != nil {
		z.t.Fatal(err)
	}
	if z.rewire != nil {
		z.rewire(c)
	}
	v := &vm{entry: e, controller: c, ended: make(chan error, 2)}
	var ectx, cctx context.Context
	ectx, v.stopEntry = context.WithCancel(context.Background())
	cctx, v.stopController = context.WithCancel(context.Background())
	go func() { v.ended <- e.Run(ectx) }()
	go func() { v.ended <- c.Run(cctx) }()
	z.vms = append(z.vms, v)
}

// shutDown stops all processes as planned and checks that they return no error.
func (z *testZone) shutDown() {
	for _, v := range z.vms {
		v.stopController()
		v.stopEntry()
	}
	for _, v := range z.vms {
		for range 2 {
			if err := <-v.ended; err != nil {
				z.t.Errorf("Run: %v", err)
			}
		}
	}
	for _, f := range z.close {
		f()
	}
	z.client.CloseIdleConnections()
}

// edit commits text as the version after base.
func (z *testZone) edit(base rollout.Version, text string) {
	z.t.Helper()
	store := rollout.NewStore(z.rows, z.objects)
	edit := rollout.Edit{Base: base, WriteID: fmt.Sprint("edit-", base), Author: "test", Text: []byte(text)}
	if _, err := store.Put(context.Background(), edit); err != nil {
		z.t.Fatal(err)
	}
}

// headTree returns the newest committed tree.
func (z *testZone) headTree() *settings.Tree {
	z.t.Helper()
	store := rollout.NewStore(z.rows, z.objects)
	v, err := store.Head(context.Background())
	if err != nil {
		z.t.Fatal(err)
	}
	doc, err := store.Load(context.Background(), v)
	if err != nil {
		z.t.Fatal(err)
	}
	tree, err := settings.ParseTree("head", doc.Text)
	if err != nil {
		z.t.Fatal(err)
	}
	return tree
}

func (z *testZone) ready(n int) bool {
	resp, err := z.client.Get(fmt.Sprintf("http://10.0.1.%d:7101/readyz", n))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// chat sends a streamed chat request to VM n and returns the response body.
func (z *testZone) chat(n int, prompt string, tokens int) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://10.0.1.%d:8080/v1/chat/completions", n), strings.NewReader(body))
	if err != nil {
		z.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := z.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(data) + err.Error()
	}
	return string(data)
}

// complete reports whether a streamed response ends with the done event.
func complete(body string) bool { return strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") }

// await waits for a condition. The limit of ten minutes is far above any expected duration.
func (z *testZone) await(what string, condition func() bool) {
	z.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	z.t.Fatalf("timed out waiting until %s", what)
}

// poolLease returns the pool's lease as shown to operators.
func (z *testZone) poolLease(pool string) *pb.Lease {
	z.t.Helper()
	status, err := (&fleetStatus{z.vms[0].controller}).Status(context.Background())
	if err != nil {
		z.t.Fatal(err)
	}
	for _, l := range status.Leases {
		if l.Pool == pool {
			return l
		}
	}
	return &pb.Lease{}
}
