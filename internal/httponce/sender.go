package httponce

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"time"
)

// Defaults of Config.
const (
	DefaultTimeout          = 3 * time.Second
	DefaultMaxConns         = 64
	DefaultMaxResponseBytes = 16 << 20
	// maxFailureBytes bounds the body of a response that reports a failure.
	maxFailureBytes = 1 << 20

	dialTimeout = time.Second
	keepAlive   = 30 * time.Second
)

// Config configures a Sender. Zero values select the defaults.
type Config struct {
	// Dial opens a connection; nil dials TCP.
	Dial DialFunc
	// Timeout bounds one Call, including reading the response.
	Timeout time.Duration
	// MaxConns bounds the number of connections to one address.
	MaxConns int
	// MaxResponseBytes bounds the response body, in bytes.
	MaxResponseBytes int64
}

// Sender makes HTTP calls and sends each request at most once. It is safe for concurrent use.
type Sender struct {
	transport        *http.Transport
	timeout          time.Duration
	maxResponseBytes int64
}

// NewSender returns a Sender.
func NewSender(c Config) *Sender {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	transport := NewTransport(TransportOptions{
		Dial:           c.Dial,
		ConnectTimeout: dialTimeout,
		KeepAlive:      keepAlive,
		MaxIdle:        c.MaxConns,
	})
	transport.MaxConnsPerHost = c.MaxConns
	return &Sender{transport: transport, timeout: c.Timeout, maxResponseBytes: c.MaxResponseBytes}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// BufferedResponse is a response whose body was read completely.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request with header (may be nil) and body and reads the complete
// response, whatever its status, within the Sender's timeout. It follows no
// redirects. The error is *Error; its Sent is true if the response was incomplete.
func (s *Sender) Call(ctx context.Context, method, url string, header http.Header, body []byte) (*BufferedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Cause: err}
	}
	maps.Copy(req.Header, header)
	resp, err := Send(s.transport, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := readAll(resp.Body, s.limit(resp.StatusCode))
	if err != nil {
		return nil, &Error{Sent: true, Cause: err}
	}
	return &BufferedResponse{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// limit returns the limit of the body of a response.
func (s *Sender) limit(status int) int64 {
	if status >= http.StatusBadRequest {
		return min(s.maxResponseBytes, maxFailureBytes)
	}
	return s.maxResponseBytes
}

// readAll reads a response body up to the limit.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return data, err
}
