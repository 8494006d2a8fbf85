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
	DefaultTimeout   = 3 * time.Second
	DefaultMaxConns  = 64
	DefaultMaxAnswer = 16 << 20

	dialTimeout = time.Second
	keepAlive   = 30 * time.Second
)

// Config says how a Sender connects. The zero value takes the defaults.
type Config struct {
	// Dial opens a connection; nil dials TCP.
	Dial DialFunc
	// Timeout bounds a whole Call.
	Timeout time.Duration
	// MaxConns bounds the connections to one address.
	MaxConns int
	// MaxResponseBytes bounds the body of an answer, in bytes.
	MaxResponseBytes int64
}

// Sender makes calls, each request sent at most once. It is safe for concurrent use.
type Sender struct {
	transport *http.Transport
	timeout   time.Duration
	maxAnswer int64
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
		c.MaxResponseBytes = DefaultMaxAnswer
	}
	transport := NewTransport(TransportOptions{
		Dial:           c.Dial,
		ConnectTimeout: dialTimeout,
		KeepAlive:      keepAlive,
		MaxIdle:        c.MaxConns,
	})
	transport.MaxConnsPerHost = c.MaxConns
	return &Sender{transport: transport, timeout: c.Timeout, maxAnswer: c.MaxResponseBytes}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// BufferedResponse is a whole answer.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request with header (may be nil) and body within the Sender's
// timeout and reads the whole answer, whatever its status. It follows no
// redirect. The error is *Error; an answer that did not come whole
// counts as sent.
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
	data, err := s.readAll(resp.Body)
	if err != nil {
		return nil, &Error{Sent: true, Cause: err}
	}
	return &BufferedResponse{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// readAll reads an answer's body up to the limit.
func (s *Sender) readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, s.maxAnswer+1))
	if err == nil && int64(len(data)) > s.maxAnswer {
		return nil, &AnswerTooLargeError{Limit: s.maxAnswer}
	}
	return data, err
}
