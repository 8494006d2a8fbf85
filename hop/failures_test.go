package hop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/memory"
)

// countDials returns a dial function that counts.
func countDials(n *int, dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		*n++
		return dial(ctx, kind, address)
	}
}

func hangUp(net.Conn, rawRequest) bool { return false }

// failForward makes the VM fail to pass requests on.
func failForward(err error) func(*site) {
	return func(s *site) {
		s.cfg.Forward = func(context.Context, *directory.Endpoint, *h1.Request) (*h1.Response, error) { return nil, err }
	}
}

func TestFailuresOfTheVM(t *testing.T) {
	notRun := func(code failure.Reason) hop.Error { return hop.Error{VM: "vm-b", Code: code, Outcome: failure.NotRun} }
	unknown := func(code failure.Reason) hop.Error {
		return hop.Error{VM: "vm-b", Code: code, Outcome: failure.Unknown}
	}
	down := notRun(failure.EndpointDown)
	down.Down = true
	for _, tt := range []struct {
		name    string
		prepare func(*site)
		body    string
		want    hop.Error
		// requests is the number of requests that reach the endpoint.
		requests int
	}{
		{"unknown endpoint", func(s *site) { s.directory.Remove("e1") }, "", notRun(failure.EndpointUnknown), 0},
		{"other incarnation", func(s *site) {
			later := registration()
			later.StartedAt, later.Version = 8, 2
			s.directory.Put(later)
		}, "", notRun(failure.WrongIncarnation), 0},
		{"draining", func(s *site) { s.directory.Drain(endpoint()) }, "", notRun(failure.EndpointLeaving), 0},
		{"body over the limit", func(s *site) { s.cfg.MaxBody = 3 }, "abcd", notRun(failure.TooLarge), 0},
		{"body at the limit", func(s *site) { s.cfg.MaxBody = 4 }, "abcd", unknown(failure.EndpointClosed), 1},
		{"refused connection", failForward(&h1.Error{Cause: unix.ECONNREFUSED}), "", down, 0},
		{"unreachable", failForward(&h1.Error{Cause: context.DeadlineExceeded}), "", notRun(failure.EndpointUnreachable), 0},
		{"refused connection after something was sent", failForward(&h1.Error{Sent: true, Cause: unix.ECONNREFUSED}), "", unknown(failure.EndpointBroke), 0},
		{"error of unknown kind", failForward(unix.ECONNREFUSED), "", unknown(failure.EndpointBroke), 0},
		{"broke after it was sent", func(*site) {}, "", unknown(failure.EndpointClosed), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, hangUp, func(t *testing.T, s *site) {
				tt.prepare(s)
				s.startVM()
				counter := metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_hop_served_total{outcome=%q}`, tt.want.Outcome))
				before := counter.Get()
				out := get()
				out.Method, out.Body = http.MethodPost, []byte(tt.body)
				_, err := s.do(t.Context(), out)
				var got *hop.Error
				if !errors.As(err, &got) {
					t.Fatalf("got %v", err)
				}
				if diff := cmp.Diff(&tt.want, got, cmpopts.IgnoreFields(hop.Error{}, "Cause")); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				reason := failure.EndpointBroke
				if tt.want.Outcome == failure.NotRun {
					reason = failure.EndpointUnreachable
				}
				if got.NotRun() != (tt.want.Outcome == failure.NotRun) || failure.ReasonOf(err) != reason {
					t.Errorf("not run: %t, reason %s", got.NotRun(), failure.ReasonOf(err))
				}
				if n := len(s.requests()); n != tt.requests {
					t.Errorf("%d requests reached the endpoint, want %d", n, tt.requests)
				}
				if n := counter.Get() - before; n != 1 {
					t.Errorf("counted %d times", n)
				}
			})
		})
	}
}

// Above its limit the VM refuses at once. A request that has ended makes room.
func TestBusyVM(t *testing.T) {
	var release chan struct{} // made in virtual time
	reply := func(c net.Conn, r rawRequest) bool {
		<-release
		return raw(emptyOK)(c, r)
	}
	inSite(t, reply, func(t *testing.T, s *site) {
		release = make(chan struct{})
		s.cfg.MaxConcurrent = 1
		s.startVM()
		first := make(chan error)
		go func() {
			response, err := s.do(t.Context(), get())
			if err == nil {
				response.Close()
			}
			first <- err
		}()
		synctest.Wait()
		_, err := s.do(t.Context(), get())
		var busy *hop.Error
		if !errors.As(err, &busy) || !busy.Busy || !busy.NotRun() || busy.Code != failure.VMBusy {
			t.Errorf("got %v", err)
		}
		close(release)
		if err := <-first; err != nil {
			t.Error(err)
		}
		response, err := s.do(t.Context(), get())
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
	})
}

// A refused connection to the VM must not be taken for one to the endpoint, and the reverse.
func TestRefusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := hop.NewClient("vm-a", h1.Options{})
	t.Run("VM", func(t *testing.T) {
		_, err := client.Do(t.Context(), hop.Peer{Name: "vm-b", Address: closed}, endpoint(), get())
		var exchange *h1.Error
		var vm *hop.ExchangeError
		if !errors.As(err, &exchange) || exchange.Sent || !errors.As(err, &vm) || vm.VM != "vm-b" || errors.Is(err, unix.ECONNREFUSED) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("endpoint", func(t *testing.T) {
		d := directory.New(nil)
		d.Put(registration())
		pool := h1.NewPool(closed, h1.Options{})
		server := &http.Server{Handler: hop.NewServer(hop.Config{
			Directory: d.Snapshot,
			Forward: func(ctx context.Context, _ *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
				return pool.Do(ctx, out)
			},
			Connect: func(ctx context.Context, _ *directory.Endpoint) error { return pool.Connect(ctx) },
		})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		peer := hop.Peer{Name: "vm-b", Address: l.Addr().String()}
		_, err = client.Do(t.Context(), peer, endpoint(), get())
		var got *hop.Error
		if !errors.As(err, &got) || !got.Down || !got.NotRun() {
			t.Errorf("request: got %v", err)
		}
		err = client.Connect(t.Context(), peer, endpoint())
		got = nil
		if !errors.As(err, &got) || !got.Down || !got.NotRun() {
			t.Errorf("connect check: got %v", err)
		}
	})
}

func TestConnect(t *testing.T) {
	inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
		if err := s.client.Connect(t.Context(), s.peer, endpoint()); err != nil {
			t.Error(err)
		}
		if n := s.connectionCount(); n != 1 || len(s.requests()) != 0 {
			t.Errorf("%d connections, %d requests at the endpoint, want 1, 0", n, len(s.requests()))
		}
		var failed *hop.Error
		s.directory.Drain(endpoint())
		if err := s.client.Connect(t.Context(), s.peer, endpoint()); !errors.As(err, &failed) || failed.Code != failure.EndpointLeaving {
			t.Errorf("draining: got %v", err)
		}
		s.directory.Remove("e1")
		if err := s.client.Connect(t.Context(), s.peer, endpoint()); !errors.As(err, &failed) || failed.Code != failure.EndpointUnknown {
			t.Errorf("unknown: got %v", err)
		}
	})
}

// A VM that is asked whether it would pass on a request connects to nothing.
func TestReady(t *testing.T) {
	inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
		if err := s.client.Ready(t.Context(), s.peer, endpoint()); err != nil {
			t.Error(err)
		}
		var failed *hop.Error
		s.cfg.Unreached = func(*directory.Endpoint) bool { return true }
		s.cfg.Impaired = func() bool { return true }
		s.startVM()
		if err := s.client.Ready(t.Context(), s.peer, endpoint()); !errors.As(err, &failed) || failed.Code != failure.EndpointUnreachable || !failed.NotRun() || !failed.Impaired {
			t.Errorf("not reached: got %v", err)
		}
		s.directory.Drain(endpoint())
		if err := s.client.Ready(t.Context(), s.peer, endpoint()); !errors.As(err, &failed) || failed.Code != failure.EndpointLeaving {
			t.Errorf("draining: got %v", err)
		}
		if n := s.connectionCount(); n != 0 {
			t.Errorf("%d connections to the endpoint", n)
		}
	})
}

// fakeVM serves one request per connection with the raw bytes that respond returns, given the
// attempt.
func fakeVM(t *testing.T, n *pipenet.Network, respond func(attempt string) string) {
	t.Helper()
	l, err := n.Listen(vmAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, respond(req.Header.Get(wire.HeaderAttempt)))
			}
			_ = c.Close()
		}
	}()
}

// Neither the response nor the refusal of another attempt may count, in particular not an outcome of
// not run.
func TestResponsesOfVMs(t *testing.T) {
	answer := func(attempt, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nSpringweir-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
	}
	refusal := func(attempt, body string) string {
		return strings.Replace(answer(attempt, body), "200 OK", "503 Busy\r\nSpringweir-Reason: vm-busy", 1)
	}
	const busy = `{"error":{"reason":"vm-busy","outcome":"not-run"}}`
	type outcome struct {
		body string
		sent bool
		// reported is the outcome that the VM reported.
		reported failure.Outcome
	}
	for _, tt := range []struct {
		name    string
		respond func(attempt string) string
		want    outcome
	}{
		{"own answer", func(a string) string { return answer(a, "own") }, outcome{body: "own"}},
		{"own answer after another's", func(a string) string { return answer("x", "other") + answer(a, "own") }, outcome{body: "own"}},
		{"own refusal", func(a string) string { return refusal(a, busy) }, outcome{reported: failure.NotRun}},
		{"another's answer", func(string) string { return answer("x", "other") }, outcome{sent: true}},
		{"another's refusal", func(string) string { return refusal("x", busy) }, outcome{sent: true}},
		{"nobody's refusal", func(string) string { return refusal("", busy) }, outcome{sent: true}},
		{"no attempt", func(string) string { return "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n" }, outcome{sent: true}},
		{"refusal without a body", func(a string) string { return refusal(a, "") }, outcome{reported: failure.Unknown}},
		{"refusal with another reason", func(a string) string { return refusal(a, strings.Replace(busy, "vm-busy", "x", 1)) }, outcome{reported: failure.Unknown}},
		{"refusal without an outcome", func(a string) string { return refusal(a, `{"error":{"reason":"vm-busy"}}`) }, outcome{reported: failure.Unknown}},
		{"refusal that breaks off", func(a string) string { return strings.TrimSuffix(refusal(a, busy), "}") }, outcome{reported: failure.Unknown}},
		{"nothing", func(string) string { return "" }, outcome{sent: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			network := pipenet.NewNetwork()
			fakeVM(t, network, tt.respond)
			client := hop.NewClient("vm-a", h1.Options{Network: network.Network()})
			var got outcome
			response, err := client.Do(t.Context(), hop.Peer{Name: "vm-b", Address: vmAddress}, endpoint(), get())
			if err == nil {
				body, err := response.ReadAll(100)
				if err != nil {
					t.Error(err)
				}
				response.Close()
				got.body = string(body)
			}
			var exchange *h1.Error
			var reported *hop.Error
			switch {
			case errors.As(err, &reported):
				got.reported = reported.Outcome
			case errors.As(err, &exchange):
				got.sent = exchange.Sent
			}
			if diff := cmp.Diff(tt.want, got, cmp.AllowUnexported(outcome{})); diff != "" {
				t.Errorf("outcome (-want +got): %v\n%s", err, diff)
			}
		})
	}
}

// After an endpoint has exited, its address may belong to another VM's listener. The request that
// arrives there is not one to hand on.
func TestNoSecondHop(t *testing.T) {
	inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
		out := get()
		out.Header = http.Header{wire.HeaderHop: {"vm-x"}, wire.HeaderEndpoint: {"e1"}, wire.HeaderIncarnation: {"e1@7"}}
		response, err := s.do(t.Context(), out)
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		for _, r := range s.requests() {
			if r.hasOwnField() {
				t.Errorf("headers at the endpoint: %q", r.fields)
			}
		}
	})
}

func TestAddressed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		header http.Header
		want   bool
	}{
		{"request of a caller", http.Header{}, false},
		{"request between entries of zones", http.Header{wire.HeaderHop: {"1"}}, false},
		{"endpoint only", http.Header{wire.HeaderEndpoint: {"e1"}}, false},
		{"request between VMs", http.Header{wire.HeaderHop: {"vm-a"}, wire.HeaderEndpoint: {"e1"}}, true},
	} {
		if got := hop.Addressed(&http.Request{Header: tt.header}); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against requests of other VMs that take a process over the memory of its VM: one for which there is no memory
// must be refused as not run, and the memory must be free again once the others have ended.
func TestRequestsBeyondMemoryAreRefused(t *testing.T) {
	var hold chan struct{} // made in virtual time
	reply := func(c net.Conn, r rawRequest) bool {
		<-hold
		return raw(emptyOK)(c, r)
	}
	inSite(t, reply, func(t *testing.T, s *site) {
		hold = make(chan struct{})
		s.cfg.Memory = memory.NewBudget(1<<20, nil)
		s.startVM()
		results := make(chan error, 20)
		for range cap(results) {
			go func() {
				out := get()
				out.Method, out.Body = http.MethodPost, make([]byte, 100<<10)
				response, err := s.do(t.Context(), out)
				if err == nil {
					response.Close()
				}
				results <- err
			}()
		}
		synctest.Wait()
		if held := s.cfg.Memory.Held(); held == 0 || held > s.cfg.Memory.Total() {
			t.Errorf("%d bytes of %d are held", held, s.cfg.Memory.Total())
		}
		close(hold)
		served := 0
		for range cap(results) {
			err := <-results
			var reported *hop.Error
			switch {
			case err == nil:
				served++
			case !errors.As(err, &reported) || !reported.Busy || !reported.NotRun():
				t.Errorf("refused with %v", err)
			}
		}
		synctest.Wait()
		if served == 0 || served == cap(results) || s.cfg.Memory.Held() != 0 {
			t.Errorf("%d of %d served, %d bytes held at the end", served, cap(results), s.cfg.Memory.Held())
		}
	})
}
