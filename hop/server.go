package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
)

// Defaults of Config.
const (
	// DefaultMaxConcurrent bounds the requests that are passed on at a time.
	DefaultMaxConcurrent = 256
	// DefaultMaxBody bounds the body of a request, in bytes.
	DefaultMaxBody = 16 << 20
)

// Config configures a Server.
type Config struct {
	// Directory returns the endpoints.
	Directory func() *directory.Snapshot
	// Forward sends a request to an endpoint over this VM's own connection and at most once. It sets
	// out.Accept if it can tell the responses to other requests. The error is *h1.Error; after any
	// other error it is unknown whether the request ran.
	Forward func(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error)
	// Connect opens a connection to an endpoint.
	Connect func(ctx context.Context, e *directory.Endpoint) error
	// Check reports whether an endpoint responds; nil means that it does if Connect succeeds.
	Check func(ctx context.Context, e *directory.Endpoint) error
	// Unreached reports whether an endpoint is known not to be reached; nil means that none is.
	Unreached func(e *directory.Endpoint) bool
	// Impaired reports whether this VM does not reach several endpoints; nil means that it does.
	Impaired func() bool
	// RequestID returns the ID of a request, given its headers, for the log; nil for none.
	RequestID func(http.Header) string
	// MaxConcurrent bounds the requests that are passed on at a time; zero is DefaultMaxConcurrent.
	MaxConcurrent int
	// MaxBody bounds the body of a request, in bytes; zero is DefaultMaxBody.
	MaxBody int64
	// Memory bounds the requests that are held, together with those of others that share it; nil is a budget of
	// its own.
	Memory *memory.Budget
}

func (c Config) withDefaults() Config {
	if c.Check == nil {
		c.Check = c.Connect
	}
	if c.Unreached == nil {
		c.Unreached = func(*directory.Endpoint) bool { return false }
	}
	if c.Impaired == nil {
		c.Impaired = func() bool { return false }
	}
	if c.RequestID == nil {
		c.RequestID = func(http.Header) string { return "" }
	}
	if c.MaxConcurrent <= 0 {
		c.MaxConcurrent = DefaultMaxConcurrent
	}
	if c.MaxBody <= 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.Memory == nil {
		c.Memory = memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Requests, nil)
	}
	return c
}

// Server passes requests of other VMs to endpoints. It is safe for concurrent use.
type Server struct {
	cfg Config
	// slots holds an element for each request that is passed on.
	slots chan struct{}
}

// NewServer returns a Server.
func NewServer(c Config) *Server {
	c = c.withDefaults()
	return &Server{cfg: c, slots: make(chan struct{}, c.MaxConcurrent)}
}

// Drain waits until no request is passed on any more; others are refused from then on. It returns the
// cause of ctx if that ends before.
func (s *Server) Drain(ctx context.Context) error {
	for range cap(s.slots) {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// result is how a request ended.
type result struct {
	// status is the status sent, if headSent is set.
	status   int
	headSent bool
	// failed is nil if the response was passed on completely.
	failed *failure.Request
}

// ServeHTTP implements http.Handler. The request must be Addressed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := clock.Now()
	EchoAttempt(w.Header(), r.Header)
	res := s.serve(w, r, start)
	s.record(r, res, start)
	switch {
	case res.failed == nil:
	case res.headSent:
		panic(http.ErrAbortHandler) // a broken connection shows that the response is incomplete
	default:
		if s.cfg.Impaired() {
			w.Header().Set(wire.HeaderImpaired, "1")
		}
		_ = WriteFailure(w, res.failed) // if it fails, the other VM has gone
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, start time.Time) result {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return result{failed: notRun(failure.VMBusy, "this VM passes on too many requests", nil)}
	}
	remaining, failed := ParseDeadline(r.Header)
	if failed != nil {
		return result{failed: failed}
	}
	ctx, cancel := withRemaining(r.Context(), start, remaining)
	defer cancel()
	held, err := s.cfg.Memory.Reserve(memory.RequestOverhead + max(0, r.ContentLength))
	if err != nil {
		return result{failed: notRun(failure.VMBusy, "this VM has no memory for the request now", err)}
	}
	defer held.Release()
	body, failed := s.readBody(ctx, w, r)
	if failed != nil {
		return result{failed: failed}
	}
	e, failed := s.endpoint(r.Header)
	if failed != nil {
		return result{failed: failed}
	}
	switch r.Header.Get(wire.HeaderConnect) {
	case "":
	case wire.ConnectNotNow:
		return s.ready(w, e)
	case wire.ConnectAndAsk:
		return connect(ctx, w, e, s.cfg.Check)
	default:
		return connect(ctx, w, e, s.cfg.Connect)
	}
	response, err := s.cfg.Forward(ctx, e, endpointRequest(r, body))
	if err != nil {
		return result{failed: forwardFailure(err)}
	}
	defer response.Close()
	return passOn(ctx, w, response)
}

// withRemaining bounds ctx by the time remaining at start, where zero means no deadline.
func withRemaining(ctx context.Context, start time.Time, remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining == 0 {
		return context.WithCancel(ctx)
	}
	return clock.WithDeadline(ctx, start.Add(remaining))
}

// pastDeadline is a deadline that fails all reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// readBody reads the whole body before ctx ends. Until then net/http does not notice that the other
// VM has gone. A Client always states the length.
func (s *Server) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) ([]byte, *failure.Request) {
	if r.ContentLength < 0 || r.ContentLength > s.cfg.MaxBody {
		return nil, notRun(failure.TooLarge, "the body is over the limit, or of unknown length", nil)
	}
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(pastDeadline) })
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	inTime := stop()
	switch {
	case !inTime:
		w.Header().Set("Connection", "close") // its reads fail from now on
		return nil, notRun(failure.DeadlinePassed, "the request did not arrive in time", context.Cause(ctx))
	case err != nil:
		return nil, notRun(failure.CallerGone, "the request broke off", err)
	}
	return body, nil
}

// endpoint returns the endpoint that a request names, if it is registered here under the same
// incarnation and accepts work.
func (s *Server) endpoint(h http.Header) (*directory.Endpoint, *failure.Request) {
	e := s.cfg.Directory().Endpoint(h.Get(wire.HeaderEndpoint))
	switch {
	case e == nil:
		return nil, notRun(failure.EndpointUnknown, "the endpoint is not registered here", nil)
	case e.Incarnation() != h.Get(wire.HeaderIncarnation):
		return nil, notRun(failure.WrongIncarnation, "another incarnation of the endpoint is registered here", nil)
	case !e.Usable():
		return nil, notRun(failure.EndpointLeaving, "the endpoint is draining", nil)
	}
	return e, nil
}

// endpointRequest returns the request to the endpoint.
func endpointRequest(r *http.Request, body []byte) *h1.Request {
	header := r.Header.Clone()
	_, hasLength := header["Content-Length"]
	header.Del("Content-Length")
	removeConnectionHeaders(header)
	removeOwnHeaders(header)
	return &h1.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: header, Body: body, HasBody: hasLength,
	}
}

// forwardFailure returns the failure of a request to which the endpoint gave no response.
func forwardFailure(err error) *failure.Request {
	var exchange *h1.Error
	if errors.As(err, &exchange) && !exchange.Sent {
		return connectFailure(err)
	}
	code := failure.EndpointBroke
	if h1.ClosedByPeer(err) {
		code = failure.EndpointClosed
	}
	return &failure.Request{Code: code, Ran: failure.Unknown, Message: "no answer from the endpoint", Cause: err}
}

// connectFailure returns the failure to connect to the endpoint.
func connectFailure(err error) *failure.Request {
	if errors.Is(err, unix.ECONNREFUSED) {
		return notRun(failure.EndpointDown, "the endpoint refused the connection", err)
	}
	return notRun(failure.EndpointUnreachable, "the endpoint was not reached", err)
}

// connect serves a check of the way to an endpoint.
func connect(ctx context.Context, w http.ResponseWriter, e *directory.Endpoint, check func(context.Context, *directory.Endpoint) error) result {
	if err := check(ctx, e); err != nil {
		return result{failed: connectFailure(err)}
	}
	return noContent(w)
}

// ready tells whether a request to an endpoint would be passed on.
func (s *Server) ready(w http.ResponseWriter, e *directory.Endpoint) result {
	if s.cfg.Unreached(e) {
		return result{failed: notRun(failure.EndpointUnreachable, "the endpoint is not reached", nil)}
	}
	return noContent(w)
}

func noContent(w http.ResponseWriter) result {
	w.WriteHeader(http.StatusNoContent)
	return result{status: http.StatusNoContent, headSent: true}
}
