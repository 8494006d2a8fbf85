package h1

import (
	"errors"
	"io"
	"net/http"
)

// LimitBodies returns a client of other VMs like c whose responses are bounded: reading more than limit bytes of a body, or
// of one that is no success more than MaxFailureBody, returns *LimitError. The transport of c bounds the heads. CheckHead
// applies. A response with neither a length nor chunks, whose end net/http does not tell from a reset while it writes a
// request, fails with *UnframedError.
func LimitBodies(c *http.Client, limit int64) *http.Client {
	limited := *c
	limited.Transport = &limitedTransport{base: c.Transport, limit: limit}
	return &limited
}

type limitedTransport struct {
	base  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkPeerResponse(response); err != nil {
		_ = response.Body.Close() // closes the connection
		return nil, err
	}
	limit := t.limit
	if response.StatusCode != http.StatusOK {
		limit = min(limit, MaxFailureBody)
	}
	response.Body = &limitedBody{ReadCloser: response.Body, limit: limit, left: limit}
	return response, nil
}

// checkPeerResponse returns why a response of another VM is none, or nil.
func checkPeerResponse(r *http.Response) error {
	if err := CheckHead(r); err != nil {
		return err
	}
	if !IsFramed(r) {
		return &UnframedError{}
	}
	return nil
}

// CloseIdleConnections is called by http.Client.
func (t *limitedTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// limitedBody is a body that fails after left further bytes. net/http closes the connection of a body that is closed
// before its end.
type limitedBody struct {
	io.ReadCloser
	limit, left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, &LimitError{Part: Body, Limit: b.limit}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left >= 0 {
		return n, err
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n - 1, err
	}
	return n - 1, NewLimitError(Body, b.limit)
}
