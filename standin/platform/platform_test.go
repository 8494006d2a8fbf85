package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

const address = "platform:1"

// fixture is a platform and its clients, connected over HTTP.
type fixture struct {
	*Platform
	config  httponce.Config
	table   *table.Client
	objects *object.Client
	list    *membership.Client
	weights *weightstore.Client
}

// run runs test in virtual time against a platform served over HTTP.
func run(t *testing.T, test func(t *testing.T, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := pipenet.Listen()
		p := New()
		server := &http.Server{Handler: p.Handler()}
		go func() { _ = server.Serve(l) }()
		c := httponce.Config{Dial: l.Dial}
		test(t, &fixture{
			Platform: p,
			config:   c,
			table:    table.NewClient(address, c),
			objects:  object.NewClient(address, c),
			list:     membership.NewClient(address, "", c),
			weights:  weightstore.NewClient(address, c),
		})
		_ = server.Close()
		time.Sleep(time.Hour) // Lets the idle connections of the clients time out.
	})
}

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

func write(row, value string) table.Txn {
	return table.Txn{
		Checks: []table.Check{{Key: key(row), Version: table.Absent}},
		Writes: []table.Write{{Key: key(row), Value: []byte(value)}},
	}
}

func reason(err error) failure.Reason {
	if err == nil {
		return ""
	}
	return failure.ReasonOf(err)
}

func TestTableOverHTTP(t *testing.T) {
	run(t, func(t *testing.T, b *fixture) {
		txn := write("a", "1")
		txn.Writes = append(txn.Writes, table.Write{Key: key("b"), Value: []byte{}}, table.Write{Key: key("c"), Delete: true})
		versions, err := b.table.Commit(t.Context(), txn)
		if diff := cmp.Diff([]table.Version{1, 1, table.Absent}, versions); diff != "" || err != nil {
			t.Errorf("commit: %v %s", err, diff)
		}
		_, err = b.table.Commit(t.Context(), txn)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || *conflict != (table.ConflictError{Key: key("a"), Have: 1}) {
			t.Errorf("conflict: %v", err)
		}
		a := table.Row{Key: key("a"), Version: 1, Value: []byte("1")}
		rows, err := b.table.Get(t.Context(), key("c"), key("a"))
		if diff := cmp.Diff([]table.Row{{Key: key("c")}, a}, rows); diff != "" || err != nil {
			t.Errorf("get: %v %s", err, diff)
		}
		rows, err = b.table.Scan(t.Context(), "t", "", "", 10)
		if diff := cmp.Diff([]table.Row{a, {Key: key("b"), Version: 1, Value: []byte{}}}, rows); diff != "" || err != nil {
			t.Errorf("scan: %v %s", err, diff)
		}
	})
}

// TestTableFaultsOverHTTP checks that the client reports an outcome as certain only if it
// is: a commit whose response is lost or late has an unknown outcome.
func TestTableFaultsOverHTTP(t *testing.T) {
	tests := []struct {
		name       string
		faults     TableFaults
		wantCommit failure.Reason
		wantGet    failure.Reason
		// wantRow is whether the row exists one minute after the commit.
		wantRow bool
	}{
		{name: "healthy", wantRow: true},
		{name: "down", faults: TableFaults{Down: true},
			wantCommit: failure.TableUnavailable, wantGet: failure.TableUnavailable},
		{name: "slow", faults: TableFaults{SlowMillis: 1000}, wantRow: true},
		{name: "too slow", faults: TableFaults{SlowMillis: 10_000},
			wantCommit: failure.TableUnknown, wantGet: failure.TableUnavailable},
		{name: "responses lost", faults: TableFaults{LoseAnswers: true},
			wantCommit: failure.TableUnknown, wantRow: true},
		{name: "applied late", faults: TableFaults{ApplyAfterMillis: 10_000},
			wantCommit: failure.TableUnknown, wantRow: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *fixture) {
				post(t, b, FaultsPath, Faults{Table: tt.faults})
				_, err := b.table.Commit(t.Context(), write("a", "1"))
				if got := reason(err); got != tt.wantCommit {
					t.Errorf("commit: %v, want %q", err, tt.wantCommit)
				}
				_, err = b.table.Get(t.Context(), key("a"))
				if got := reason(err); got != tt.wantGet {
					t.Errorf("get: %v, want %q", err, tt.wantGet)
				}
				time.Sleep(time.Minute)
				post(t, b, FaultsPath, Faults{})
				rows, err := b.table.Get(t.Context(), key("a"))
				if err != nil || (rows[0].Version != table.Absent) != tt.wantRow {
					t.Errorf("after a minute: %v %v, want row %v", rows, err, tt.wantRow)
				}
			})
		})
	}
}

// post sends body as JSON to an admin path.
func post(t *testing.T, b *fixture, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := httponce.NewSender(b.config).Call(t.Context(), http.MethodPost, "http://"+address+path, nil, data)
	if err != nil || resp.Status != http.StatusOK {
		t.Fatalf("%s: %+v, %v", path, resp, err)
	}
}

// TestMalformedResponses checks that the clients report malformed responses as errors.
func TestMalformedResponses(t *testing.T) {
	for _, body := range []string{"", "{", "{}", `{"versions":[1,2]}`, `{"rows":[]}`} {
		for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable, http.StatusTeapot} {
			synctest.Test(t, func(t *testing.T) { checkMalformed(t, status, body) })
		}
	}
}

func checkMalformed(t *testing.T, status int, body string) {
	l := pipenet.Listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = server.Serve(l) }()
	c := httponce.Config{Dial: l.Dial}
	_, commitErr := table.NewClient(address, c).Commit(t.Context(), write("a", "1"))
	_, getErr := table.NewClient(address, c).Get(t.Context(), key("a"))
	_, listErr := membership.NewClient(address, "", c).VMs(t.Context())
	got := []failure.Reason{reason(commitErr), reason(getErr), reason(listErr)}
	want := []failure.Reason{failure.TableUnknown, failure.TableUnavailable, failure.MembershipUnavailable}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status %d body %q: %s", status, body, diff)
	}
	_ = server.Close()
	time.Sleep(time.Hour)
}

func TestObjectsOverHTTP(t *testing.T) {
	run(t, func(t *testing.T, b *fixture) {
		const name = "config/v 1?%2F"
		data := bytes.Repeat([]byte("x"), object.MaxBytes)
		if err := b.objects.Put(t.Context(), name, data); err != nil {
			t.Fatal(err)
		}
		got, err := b.objects.Get(t.Context(), name)
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("got %d bytes, %v", len(got), err)
		}
		for range 2 { // the second delete finds no object
			if err := b.objects.Delete(t.Context(), name); err != nil {
				t.Fatal(err)
			}
		}
		_, err = b.objects.Get(t.Context(), name)
		if got := reason(err); got != failure.ObjectMissing {
			t.Errorf("missing: %v", err)
		}
		err = b.objects.Put(t.Context(), name, append(data, 'x'))
		if got := reason(err); got != failure.ObjectInvalid {
			t.Errorf("too large: %v", err)
		}
		post(t, b, FaultsPath, Faults{Objects: ObjectFaults{LoseAnswers: true}})
		err = b.objects.Put(t.Context(), "lost", []byte("y"))
		if got := reason(err); got != failure.ObjectUnavailable {
			t.Errorf("lost: %v", err)
		}
		got, err = b.objects.Get(t.Context(), "lost")
		if string(got) != "y" || err != nil {
			t.Errorf("after a lost response: %q, %v", got, err)
		}
	})
}

func TestMembershipOverHTTP(t *testing.T) {
	run(t, func(t *testing.T, b *fixture) {
		vms := []membership.VM{
			{Name: "a1", Kind: membership.Entry, Zone: "a", Address: "127.0.0.1:1"},
			{Name: "b1", Kind: membership.Entry, Zone: "b", Address: "127.0.0.1:2"},
			{Name: "b2", Kind: membership.Endpoint, Zone: "b", Address: "127.0.0.1:3"},
		}
		for _, vm := range vms {
			post(t, b, VMsPath, vm)
		}
		expectVMs(t, b.list)
		time.Sleep(DefaultLag)
		expectVMs(t, b.list, vms...)
		inA := membership.NewClient(address, "a", b.config)
		expectVMs(t, inA, vms[:2]...)
		expectVMs(t, inA, vms[:2]...) // Unchanged, so the server responds with 304.
		vms[0].Leaving = true
		post(t, b, VMsPath, vms[0])
		time.Sleep(DefaultLag)
		expectVMs(t, inA, vms[:2]...)
		post(t, b, FaultsPath, Faults{Membership: MembershipFaults{Down: true}})
		if _, err := inA.VMs(t.Context()); reason(err) != failure.MembershipUnavailable {
			t.Errorf("down: %v", err)
		}
		if n := b.List.Reads(); n != 6 {
			t.Errorf("%d reads counted, want 6", n)
		}
	})
}

func expectVMs(t *testing.T, l membership.List, want ...membership.VM) {
	t.Helper()
	got, err := l.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(append([]membership.VM{}, want...), append([]membership.VM{}, got...)); diff != "" {
		t.Error(diff)
	}
}

// TestUnchangedListIsNotResent checks that a conditional read of an unchanged list returns
// status 304 and no body.
func TestUnchangedListIsNotResent(t *testing.T) {
	run(t, func(t *testing.T, b *fixture) {
		sender := httponce.NewSender(b.config)
		url := "http://" + address + membership.ListPath
		first, err := sender.Call(t.Context(), http.MethodGet, url, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		header := http.Header{"If-None-Match": {first.Header.Get("ETag")}}
		again, err := sender.Call(t.Context(), http.MethodGet, url, header, nil)
		if err != nil || again.Status != http.StatusNotModified || len(again.Body) != 0 {
			t.Errorf("got %+v, %v", again, err)
		}
	})
}

func TestWeightsOverHTTP(t *testing.T) {
	run(t, func(t *testing.T, b *fixture) {
		a := weightstore.Artifact{Model: "m", Version: "1"}
		b.Weights.SetLimits(weightstore.Limits{BytesPerSecond: 100, Concurrent: 2, Window: time.Second})
		b.Weights.Put(weightstore.Info{Artifact: a, Bytes: 250})
		info, err := b.weights.Describe(t.Context(), a)
		if info.Bytes != 250 || err != nil {
			t.Errorf("describe: %+v, %v", info, err)
		}
		limits, err := b.weights.Limits(t.Context())
		if limits.BytesPerSecond != 100 || limits.Window != time.Second || err != nil {
			t.Errorf("limits: %+v, %v", limits, err)
		}
		steps := []struct {
			fetcher string
			bytes   int64
			wait    time.Duration
			want    failure.Reason
		}{
			{fetcher: "x", bytes: 60},
			{fetcher: "y", bytes: 60, want: failure.WeightsLimited},
			{fetcher: "y", bytes: 20},
			{fetcher: "z", bytes: 1, want: failure.WeightsLimited},
			{fetcher: "z", bytes: 90, wait: time.Second},
			{fetcher: "z", bytes: 500, wait: time.Second},
			{fetcher: "x", bytes: 0, want: failure.WeightsUnavailable},
		}
		for _, s := range steps {
			time.Sleep(s.wait)
			err := b.weights.Fetch(t.Context(), s.fetcher, a, s.bytes)
			if got := reason(err); got != s.want {
				t.Errorf("%+v: got %v", s, err)
			}
		}
		if diff := cmp.Diff(int64(670), b.Weights.Counts().Bytes); diff != "" {
			t.Error(diff)
		}
		post(t, b, FaultsPath, Faults{WeightsDown: true})
		if _, err := b.weights.Describe(t.Context(), a); reason(err) != failure.WeightsUnavailable {
			t.Errorf("down: %v", err)
		}
	})
}
