package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/httponce"
	"github.com/springweir/springweir/service"
)

// Limits of the connections to entries of other zones.
const (
	peerConnectTimeout = time.Second
	// peerKeepAlive is below the idle timeout of an entry's server.
	peerKeepAlive = 30 * time.Second
	peerMaxIdle   = 16
)

// PeerTarget is the entry of another zone. It is called through the same HTTP interface as callers
// use, with a header that forbids a second hop.
type PeerTarget struct {
	base      string
	transport *http.Transport
}

// NewPeerTransport returns the transport shared by all PeerTargets of a process. It sets no timeout
// for the response header, which arrives with the first token; the forwarder does.
func NewPeerTransport() *http.Transport {
	return httponce.NewTransport(httponce.TransportOptions{
		ConnectTimeout: peerConnectTimeout,
		KeepAlive:      peerKeepAlive,
		MaxIdle:        peerMaxIdle,
	})
}

// NewPeerTarget returns the entry at address (host:port), reached over a transport of
// NewPeerTransport.
func NewPeerTarget(address string, transport *http.Transport) *PeerTarget {
	return &PeerTarget{base: "http://" + address, transport: transport}
}

// Generate implements Peer.
func (p *PeerTarget) Generate(ctx context.Context, w *Work, req engine.GenerateRequest) (engine.Stream, error) {
	body, err := json.Marshal(wire.Request{
		Model:     w.ModelName,
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Stream:    true,
		Hop: &wire.Hop{
			PromptTokens: req.PromptTokens,
			Version:      req.Version,
			ResumeFrom:   req.ResumeFrom,
			Emitted:      req.Emitted,
		},
	})
	if err != nil {
		return nil, asRequest(err, failure.NotRun)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := p.send(ctx, w, req.Attempt, http.MethodPost, wire.PathCompletions, header, body)
	if err != nil {
		return nil, err
	}
	return newPeerStream(resp, req.Attempt), nil
}

// Do implements Peer.
func (p *PeerTarget) Do(ctx context.Context, w *Work, call service.Call) (*service.Response, error) {
	path := wire.PathServices + w.Service + call.Path
	resp, err := p.send(ctx, w, call.Attempt, call.Method, path, call.Header.Clone(), call.Body)
	if err != nil {
		return nil, err
	}
	if !h1.IsFramed(resp) {
		_ = resp.Body.Close() // closes the connection
		return nil, &failure.Request{
			Code: failure.AnswerTruncated, Ran: failure.Unknown, Message: "the answer cannot be proved whole", Cause: &h1.UnframedError{},
		}
	}
	return &service.Response{
		Attempt: resp.Header.Get(wire.HeaderAttempt),
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    resp.Body,
	}, nil
}

// send makes one HTTP exchange without retry (see internal/httponce). A failure that the peer
// reports is returned as such, with the peer's outcome.
func (p *PeerTarget) send(ctx context.Context, w *Work, attempt, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, asRequest(err, failure.NotRun)
	}
	if header != nil {
		req.Header = header
	}
	setHopHeaders(ctx, req.Header, w, attempt)
	resp, err := httponce.Send(p.transport, req)
	if err != nil {
		return nil, exchangeFailure(err)
	}
	if !hop.EchoesAttempt(resp.Header, attempt) {
		resp.Abort()
		return nil, &failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "the answer belongs to another attempt"}
	}
	if hop.ReportsFailure(resp.Header) {
		return nil, readPeerFailure(resp.Response)
	}
	return resp.Response, nil
}

// hopName is sent in place of the VM's name: the entry of another zone does not need it.
const hopName = "1"

func setHopHeaders(ctx context.Context, header http.Header, w *Work, attempt string) {
	hop.SetHeaders(ctx, header, hopName, attempt)
	header.Set("Authorization", w.Authorization)
	header.Set(wire.HeaderPriority, priorityName(w.Priority))
	if w.IdempotencyKey != "" {
		header.Set(wire.HeaderIdempotencyKey, w.IdempotencyKey)
	}
}

func priorityName(p engine.Priority) string {
	switch p {
	case engine.Interactive:
		return "interactive"
	case engine.Batch:
		return "batch"
	default:
		return "standard"
	}
}

// exchangeFailure returns the failure of an exchange that got no response.
func exchangeFailure(err error) *failure.Request {
	var exchange *httponce.Error
	if !errors.As(err, &exchange) {
		return asRequest(err, failure.Unknown)
	}
	return &failure.Request{Code: exchange.Reason(), Ran: exchange.Outcome(), Message: "the other zone's entry did not answer", Cause: err}
}

// readPeerFailure decodes the failure that a peer reported. If it cannot be decoded, the outcome is
// unknown.
func readPeerFailure(resp *http.Response) *failure.Request {
	defer resp.Body.Close()
	failed, err := hop.ReadFailure(resp.Header, resp.Body)
	if err != nil {
		return &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown, Message: "the other zone's entry gave no readable failure", Cause: err}
	}
	return failed
}
