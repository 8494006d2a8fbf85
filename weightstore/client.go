package weightstore

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/springweir/springweir/internal/httponce"
)

// Paths of the HTTP interface. Every request is a POST with a JSON body.
const (
	DescribePath = "/weights/describe"
	LimitsPath   = "/weights/limits"
	FetchPath    = "/weights/fetch"
)

// FetchRequest is the body of a request to FetchPath. It reserves part of the rate
// limit for the next bytes of an artifact; the stand-ins transfer no real weights.
type FetchRequest struct {
	// Fetcher identifies the client that fetches.
	Fetcher  string   `json:"fetcher"`
	Artifact Artifact `json:"artifact"`
	Bytes    int64    `json:"bytes"`
}

// Refusal is the body of a response with status 429.
type Refusal struct {
	// RetryAfterMillis is the delay before a retry, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms"`
}

// Client is an HTTP/JSON client of the platform's weight store.
type Client struct {
	base   string
	sender *httponce.Sender
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at address (host:port).
func NewClient(address string, c httponce.Config) *Client {
	return &Client{base: "http://" + address, sender: httponce.NewSender(c)}
}

// Describe implements Store. The error is *MissingError or *UnavailableError.
func (c *Client) Describe(ctx context.Context, a Artifact) (Info, error) {
	var info Info
	err := c.call(ctx, DescribePath, a, a, &info)
	return info, err
}

// Limits implements Store. The error is *UnavailableError.
func (c *Client) Limits(ctx context.Context) (Limits, error) {
	var limits Limits
	err := c.call(ctx, LimitsPath, Artifact{}, struct{}{}, &limits)
	return limits, err
}

// Fetch charges n bytes of an artifact to the store's rate limit on behalf of
// fetcher. Engines call it. The error is *RateLimitError, *MissingError or
// *UnavailableError.
func (c *Client) Fetch(ctx context.Context, fetcher string, a Artifact, n int64) error {
	return c.call(ctx, FetchPath, a, FetchRequest{Fetcher: fetcher, Artifact: a, Bytes: n}, &struct{}{})
}

// call sends a request that concerns a and decodes the response.
func (c *Client) call(ctx context.Context, path string, a Artifact, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	resp, err := c.sender.Call(ctx, http.MethodPost, c.base+path, nil, body)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	switch resp.Status {
	case http.StatusOK:
		err = json.Unmarshal(resp.Body, response)
	case http.StatusNotFound:
		return &MissingError{Artifact: a}
	case http.StatusTooManyRequests:
		var r Refusal
		if err = json.Unmarshal(resp.Body, &r); err == nil {
			return &RateLimitError{RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}
		}
	default:
		return &UnavailableError{Cause: &ResponseError{Status: resp.Status}}
	}
	if err != nil {
		return &UnavailableError{Cause: &ResponseError{Status: resp.Status, Cause: err}}
	}
	return nil
}
