// Package gateway is the process between callers and endpoints on one VM. It accepts and relays
// requests, follows the configuration and the endpoints in the platform's store, and stops without
// interrupting responses.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/quota"
	"github.com/springweir/springweir/relay"
)

// Call is the decoded head of a caller's request, without its body and address.
type Call struct {
	ID string
	// Header is forwarded to the endpoint.
	Header http.Header
	// Timeout is how long the caller waits; zero if unknown.
	Timeout time.Duration
	// LastEventID is the last event of a stream that the caller has received.
	LastEventID int
	// Origin is the ID of the request that brought that stream's first event, as stated by the caller;
	// empty if the request takes up no stream.
	Origin string
	// Prompt is set for a generation request.
	Prompt *prompt.Prompt
	// Credential identifies the caller. Authorization holds the values of the Authorization header,
	// which Header does not contain.
	Credential    organisation.Credential
	Authorization []string
}

// Codec translates between HTTP requests of callers and the gateway.
type Codec interface {
	// Decode decodes the head of a request. A failure is returned to the caller unchanged.
	Decode(r *http.Request) (Call, *failure.Request)
	// SetRefusalHeaders adds the headers of a refusal, including when the caller should retry.
	SetRefusalHeaders(h http.Header, id string, after time.Duration)
}

// handler serves callers.
type handler struct {
	codec Codec
	relay *relay.Relay
	state *state
	quota *quota.Limiter
	// intake is nil if the bandwidth of the VM's link is not known.
	intake *intake
	// memory bounds the requests that are held.
	memory *memory.Budget
	// stall is how long a caller may make no progress.
	stall time.Duration
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := clock.Now() // includes the time the body takes to arrive
	headArrived(r)
	if h.state.isStopping() {
		w.Header().Set("Connection", "close")
	}
	call, failed := h.codec.Decode(r)
	if failed != nil {
		h.reject(w, r, call.ID, failed)
		return
	}
	held := h.memory.Open()
	defer held.Release()
	req, failed := h.buildRequest(w, r, call, received, held)
	if failed != nil {
		h.reject(w, r, call.ID, failed)
		return
	}
	reservation, failed := h.reserveQuota(r.Context(), req)
	if failed != nil {
		h.reject(w, r, call.ID, failed)
		return
	}
	writer := newResponseWriter(w, r, req.ID, h.stall)
	result := h.relay.Serve(r.Context(), req, writer)
	writer.close()
	if ranOf(result.Failure) == failure.NotRun {
		reservation.Refund()
	}
	h.finish(writer, r, req, result)
}

// reserveQuota takes the cost of a request from the limit of its organisation, if there is one.
func (h *handler) reserveQuota(ctx context.Context, req *relay.Request) (*quota.Reservation, *failure.Request) {
	o := req.Organisation
	if o == nil || !o.Limit.Limited() {
		return nil, nil
	}
	return h.quota.Reserve(ctx, req.ID, o.Name, o.Limit.Cost(req.Prompt))
}

// buildRequest finds the route, identifies the caller and reads the body, whose memory it adds to held.
func (h *handler) buildRequest(w http.ResponseWriter, r *http.Request, call Call, received time.Time, held *memory.Reservation) (*relay.Request, *failure.Request) {
	config := h.state.config.Load()
	if config == nil {
		return nil, newRefusal(failure.NoConfig, "this VM knows no configuration yet")
	}
	route, failed := h.state.findRoute(config, r.Host, target(r))
	if failed != nil {
		return nil, failed
	}
	caller, failed := h.state.identify(config, route, call.Credential)
	if failed != nil {
		return nil, failed
	}
	body, failed := h.readBody(w, r, config.Limits.BodyBytes, held)
	if failed != nil {
		return nil, failed
	}
	req := &relay.Request{
		ID: call.ID, Method: r.Method, Target: target(r), Host: r.Host,
		Header: call.forwardedHeader(config), Body: body, HasBody: r.ContentLength != 0,
		Caller: withoutPort(r.RemoteAddr), Received: received, Config: config, Route: route, Service: route.Service(rand.Float64()),
		Credential: call.Credential, Organisation: caller, Prompt: call.Prompt, LastEventID: call.LastEventID, Origin: call.Origin,
	}
	if limit := shorterTimeout(call.Timeout, route.Timeout); limit > 0 {
		req.Deadline = received.Add(limit)
	}
	return req, nil
}

func newRefusal(code failure.Reason, message string) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.NotRun, RetryAfter: retryAfter, Message: message}
}

// retryAfter is the retry delay for a refusal with a temporary cause. Callers honour it up to a
// third of their remaining time.
const retryAfter = 50 * time.Millisecond

// shorterTimeout returns the shorter of two timeouts, where zero means no timeout.
func shorterTimeout(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// finish records how a request ended, and responds with its failure if no response head was sent.
func (h *handler) finish(w *responseWriter, r *http.Request, req *relay.Request, result relay.Result) {
	recordRequest(req, result)
	klog.InfoS("gateway: request ended", "request", req.ID, "route", req.Route.Name, "config", h.state.version(),
		"status", result.Status, "begun", result.HeadSent, "framing", w.framing, "endpointUnframed", result.Unframed,
		"endpoint", result.Endpoint, "attempts", result.Attempts,
		"events", result.Events, "firstMS", result.TimeToHead.Milliseconds(), "pauseMS", result.MaxEventGap.Milliseconds(), "tookMS", clock.Since(req.Received).Milliseconds(),
		"failure", codeOf(result.Failure), "cause", causeOf(result.Failure), "ran", ranOf(result.Failure))
	switch {
	case result.Failure == nil:
		w.complete()
	case result.HeadSent:
		// A broken connection is the only way to signal an incomplete response.
		panic(http.ErrAbortHandler)
	default:
		h.refuse(w.w, r, req.ID, result.Failure)
	}
}

func codeOf(failed *failure.Request) failure.Reason {
	if failed == nil {
		return ""
	}
	return failed.Code
}

func causeOf(failed *failure.Request) string {
	if failed == nil {
		return ""
	}
	return failed.Message
}

func ranOf(failed *failure.Request) failure.Outcome {
	if failed == nil {
		return failure.Done
	}
	return failed.Ran
}

// reject refuses a request before it reaches the relay. Its body may not have been read.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, id string, failed *failure.Request) {
	klog.InfoS("gateway: request rejected", "request", id, "host", r.Host, "path", withoutQuery(target(r)), "config", h.state.version(),
		"configStale", h.state.configStale(), "failure", failed.Code, "cause", failed.Message)
	if !leavesLongBody(r, failed) {
		h.refuse(w, r, id, failed)
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex() // supported by every HTTP/1 connection
	w.Header().Set("Connection", "close")
	h.refuse(w, r, id, failed)
	discardBody(w, r, h.stall)
}

// refuse responds with a failure of the gateway itself. A status that guarantees that the request
// did not run is sent only if that is certain.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, id string, failed *failure.Request) {
	countRefusal(failed)
	if r.Context().Err() != nil && failed.Code == failure.CallerGone {
		panic(http.ErrAbortHandler)
	}
	status := statusOf(failed)
	after := time.Duration(0)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		after = max(failed.RetryAfter, retryAfter)
	}
	h.codec.SetRefusalHeaders(w.Header(), id, after)
	http.Error(w, fmt.Sprintf("%s (%s): %s", failed.Code, failed.Ran, failed.Message), status)
}

// statusOf returns the HTTP status for a failure of the gateway itself.
func statusOf(failed *failure.Request) int {
	status := failed.Status()
	switch {
	case failed.Ran != failure.NotRun && failed.Code == failure.DeadlinePassed:
		return http.StatusGatewayTimeout
	case failed.Ran != failure.NotRun:
		return http.StatusBadGateway
	case status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// target returns the request target as sent by the caller, without a host.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// withoutQuery returns the path of a request target, not decoded.
func withoutQuery(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// withoutPort returns the host of an address or a Host header, with or without a port.
func withoutPort(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
