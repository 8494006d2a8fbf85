package feedshare

import (
	"context"
	"io"
	"net/http"
)

// progressKey is the context key of the function that is called whenever a part of a response arrives.
type progressKey struct{}

// withProgress returns a context for a request whose response may take long.
func withProgress(ctx context.Context, onProgress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// progressTransport calls the function of withProgress.
type progressTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if onProgress, ok := r.Context().Value(progressKey{}).(func()); ok && err == nil {
		onProgress()
		response.Body = &progressBody{response.Body, onProgress}
	}
	return response, err
}

// CloseIdleConnections is called by http.Client.
func (t *progressTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

type progressBody struct {
	io.ReadCloser
	onProgress func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onProgress()
	}
	return n, err
}
