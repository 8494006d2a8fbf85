package object

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// Path is the HTTP path prefix of an object's name. PUT stores the body, GET
// returns it or status 404, DELETE removes it.
const Path = "/object/"

// Limits of the store.
const (
	// MaxBytes is the maximum size of an object in bytes.
	MaxBytes = 16 << 20
	// MaxNameBytes is the maximum length of a name in bytes.
	MaxNameBytes = 1024
)

// InvalidError reports an object that exceeds a limit. Nothing was stored.
type InvalidError struct {
	Name    string
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid object %.80q: %s", e.Name, e.Problem)
}

// Reason implements failure.Coded.
func (e *InvalidError) Reason() failure.Reason { return failure.ObjectInvalid }

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("object store answered status %d", e.Status)
}

// Reason implements failure.Coded.
func (e *StatusError) Reason() failure.Reason { return failure.ObjectUnavailable }

// Validate returns an *InvalidError if name or data exceeds a limit.
func Validate(name string, data []byte) error {
	if name == "" || len(name) > MaxNameBytes {
		return &InvalidError{Name: name, Problem: fmt.Sprintf("name must have 1 to %d bytes", MaxNameBytes)}
	}
	if len(data) > MaxBytes {
		return &InvalidError{Name: name, Problem: fmt.Sprintf("over %d bytes", MaxBytes)}
	}
	return nil
}

// Client is an HTTP client of the platform's object store.
type Client struct {
	base   string
	sender *httponce.Sender
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at address (host:port).
func NewClient(address string, c httponce.Config) *Client {
	return &Client{base: "http://" + address + Path, sender: httponce.NewSender(c)}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if err := Validate(name, data); err != nil {
		return err
	}
	_, err := c.call(ctx, http.MethodPut, name, data)
	return err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	if err := Validate(name, nil); err != nil {
		return nil, err
	}
	return c.call(ctx, http.MethodGet, name, nil)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, name string) error {
	if err := Validate(name, nil); err != nil {
		return err
	}
	_, err := c.call(ctx, http.MethodDelete, name, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, name string, data []byte) ([]byte, error) {
	resp, err := c.sender.Call(ctx, method, c.base+url.PathEscape(name), nil, data)
	switch {
	case err != nil:
		return nil, &UnavailableError{Cause: err}
	case resp.Status == http.StatusNotFound && method == http.MethodGet:
		return nil, &MissingError{Name: name}
	case resp.Status != http.StatusOK:
		return nil, &UnavailableError{Cause: &StatusError{Status: resp.Status}}
	}
	return resp.Body, nil
}
