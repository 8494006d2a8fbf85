package hop_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/pipenet"
)

const (
	vmAddress       = "vm:1"
	endpointAddress = "endpoint:1"
)

// lingerTime exceeds the time for which net/http keeps a connection that it has closed for writing.
const lingerTime = time.Second

// rawRequest is a request as an endpoint received it.
type rawRequest struct {
	// line is the request line, and fields the sorted header lines.
	line   string
	fields []string
	body   string
}

// hasOwnField reports whether any header is springweir's own.
func (r rawRequest) hasOwnField() bool {
	return slices.ContainsFunc(r.fields, func(f string) bool {
		return strings.HasPrefix(strings.ToLower(f), "springweir-")
	})
}

func readRaw(r *bufio.Reader) (rawRequest, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return rawRequest{}, err
	}
	req := rawRequest{line: strings.TrimRight(line, "\r\n")}
	length := 0
	for {
		field, err := r.ReadString('\n')
		if err != nil {
			return req, err
		}
		field = strings.TrimRight(field, "\r\n")
		if field == "" {
			break
		}
		req.fields = append(req.fields, field)
		if value, ok := strings.CutPrefix(field, "Content-Length: "); ok {
			if length, err = strconv.Atoi(value); err != nil {
				return req, err
			}
		}
	}
	slices.Sort(req.fields)
	body := make([]byte, length)
	_, err = io.ReadFull(r, body)
	req.body = string(body)
	return req, err
}

// site is an endpoint, a VM that reaches it, and the client of a VM that does not.
type site struct {
	t         *testing.T
	network   *pipenet.Network
	directory *directory.Directory
	cfg       hop.Config
	vm        *http.Server
	client    *hop.Client
	peer      hop.Peer
	// server is the VM's server for hops.
	server *hop.Server
	// endpoints is the pool of the VM.
	endpoints *h1.Pool

	mu       sync.Mutex
	received []rawRequest
	// connections counts the connections to the endpoint; ended receives one element for each that
	// the VM has closed.
	connections int
	ended       chan struct{}
}

// inSite runs test in virtual time. The endpoint calls reply with each request and closes the
// connection if it returns false.
func inSite(t *testing.T, reply func(c net.Conn, r rawRequest) bool, test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		listener, err := s.network.Listen(endpointAddress)
		if err != nil {
			t.Fatal(err)
		}
		go s.serveEndpoint(listener, reply)
		s.startVM()
		test(t, s)
		s.client.Retain(nil)
		_ = s.vm.Close()
		s.endpoints.Close()
		_ = listener.Close()
		time.Sleep(lingerTime)
	})
}

func newSite(t *testing.T) *site {
	s := &site{t: t, network: pipenet.NewNetwork(), directory: directory.New(nil), ended: make(chan struct{}, 100)}
	s.directory.Put(registration())
	options := h1.Options{Network: s.network.Network()}
	s.endpoints = h1.NewPool(endpointAddress, options)
	s.client = hop.NewClient("vm-a", options)
	s.peer = hop.Peer{Name: "vm-b", Address: vmAddress}
	s.cfg = hop.Config{
		Directory: s.directory.Snapshot,
		Forward: func(ctx context.Context, _ *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
			return s.endpoints.Do(ctx, out)
		},
		Connect: func(ctx context.Context, _ *directory.Endpoint) error { return s.endpoints.Connect(ctx) },
	}
	return s
}

// startVM starts the VM with the current configuration, in place of an earlier one.
func (s *site) startVM() {
	if s.vm != nil {
		s.client.Retain(nil)
		_ = s.vm.Close()
	}
	server := hop.NewServer(s.cfg)
	s.server = server
	s.vm = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hop.Addressed(r) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		server.ServeHTTP(w, r)
	})}
	listener, err := s.network.Listen(vmAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	vm := s.vm
	go func() { _ = vm.Serve(listener) }()
}

func (s *site) serveEndpoint(l net.Listener, reply func(c net.Conn, r rawRequest) bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				r, err := readRaw(reader)
				if err != nil {
					s.ended <- struct{}{}
					return
				}
				s.mu.Lock()
				s.received = append(s.received, r)
				s.mu.Unlock()
				if !reply(c, r) {
					return
				}
			}
		}()
	}
}

func (s *site) requests() []rawRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// connectionCount returns the number of connections to the endpoint.
func (s *site) connectionCount() int {
	synctest.Wait() // the endpoint may not have accepted the last one yet
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func registration() directory.Registration {
	return directory.Registration{ID: "e1", StartedAt: 7, Version: 1, Service: "chat", Address: endpointAddress}
}

// endpoint returns the endpoint as the first VM knows it.
func endpoint() *directory.Endpoint { return &directory.Endpoint{Registration: registration()} }

// get returns a request without a body.
func get() *h1.Request {
	return &h1.Request{Method: http.MethodGet, Target: "/x", Host: "h.example", Header: http.Header{}}
}

// do sends a request over the VM to the endpoint.
func (s *site) do(ctx context.Context, out *h1.Request) (*h1.Response, error) {
	return s.client.Do(ctx, s.peer, endpoint(), out)
}

// raw returns a reply with fixed bytes.
func raw(response string) func(net.Conn, rawRequest) bool {
	return func(c net.Conn, _ rawRequest) bool {
		_, err := io.WriteString(c, response)
		return err == nil
	}
}

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
