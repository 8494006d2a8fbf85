package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// ListPath is the HTTP path of the list. A GET returns a ListResponse with an ETag, or 304 when
// If-None-Match names the current one. With ZoneParameter the response omits the endpoints of
// other zones.
const (
	ListPath      = "/membership/list"
	ZoneParameter = "zone"
)

// ListResponse is the body of a response to a request for the list.
type ListResponse struct {
	VMs []VM `json:"vms"`
}

// ResponseError reports a response that the client can't interpret.
type ResponseError struct {
	// Status is the HTTP status.
	Status int
	// Cause is the decoding error, or nil.
	Cause error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("unexpected membership response with status %d: %v", e.Status, e.Cause)
}

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return failure.MembershipUnavailable }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// Client reads the platform's list over HTTP/JSON. It uses conditional requests, because a large
// fleet's list is too long to transfer at every poll.
type Client struct {
	url    string
	sender *httponce.Sender

	// mu guards the last list and its ETag. It is not held during a request.
	mu   sync.Mutex
	vms  []VM
	etag string
}

var _ List = (*Client)(nil)

// NewClient returns a client of the list at address (host:port). If zone is not empty, the list
// omits the endpoints of other zones, but never entry VMs.
func NewClient(address, zone string, c httponce.Config) *Client {
	u := url.URL{Scheme: "http", Host: address, Path: ListPath}
	if zone != "" {
		u.RawQuery = url.Values{ZoneParameter: {zone}}.Encode()
	}
	return &Client{url: u.String(), sender: httponce.NewSender(c)}
}

// VMs implements List.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	cachedVMs, etag := c.cached()
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	response, err := c.sender.Call(ctx, http.MethodGet, c.url, header, nil)
	switch {
	case err != nil:
		return nil, &UnavailableError{Cause: err}
	case response.Status == http.StatusNotModified && etag != "":
		return slices.Clone(cachedVMs), nil
	case response.Status != http.StatusOK:
		return nil, &UnavailableError{Cause: &ResponseError{Status: response.Status}}
	}
	// A body without the field must not be read as an empty list, which would mark every VM as
	// removed.
	var body struct {
		VMs *[]VM `json:"vms"`
	}
	if err := json.Unmarshal(response.Body, &body); err != nil || body.VMs == nil {
		return nil, &UnavailableError{Cause: &ResponseError{Status: response.Status, Cause: err}}
	}
	c.store(*body.VMs, response.Header.Get("ETag"))
	return slices.Clone(*body.VMs), nil
}

func (c *Client) cached() ([]VM, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms, c.etag
}

func (c *Client) store(vms []VM, etag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = vms
	c.etag = etag
}
