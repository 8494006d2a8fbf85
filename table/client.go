package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// Client accesses the platform's table service over HTTP/JSON. It never repeats a request by
// itself, and returns UnavailableError for a write only when nothing was sent or the service
// itself refused it.
type Client struct {
	base   string
	sender *httponce.Sender
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the service at address (host:port).
func NewClient(address string, c httponce.Config) *Client {
	return &Client{base: "http://" + address, sender: httponce.NewSender(c)}
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
	return fmt.Sprintf("unexpected table response with status %d: %v", e.Status, e.Cause)
}

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return failure.TableUnknown }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// Get implements Service.
func (c *Client) Get(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := ValidateKeys(keys); err != nil {
		return nil, err
	}
	rows, err := c.read(ctx, GetPath, GetRequest{Keys: keys})
	if err == nil && len(rows) != len(keys) {
		return nil, &UnavailableError{Cause: &ResponseError{Status: http.StatusOK}}
	}
	return rows, err
}

// Scan implements Service.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	return c.read(ctx, ScanPath, ScanRequest{Table: table, Prefix: prefix, After: after, Limit: limit})
}

// read sends a read. A failed read had no effect, so its errors are never *UnknownError.
func (c *Client) read(ctx context.Context, path string, request any) ([]Row, error) {
	var response RowsResponse
	err := c.call(ctx, path, request, &response)
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		err = &UnavailableError{Cause: unknown.Cause}
	}
	return response.Rows, err
}

// Commit implements Service.
func (c *Client) Commit(ctx context.Context, txn Txn) ([]Version, error) {
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	var response CommitResponse
	if err := c.call(ctx, CommitPath, txn, &response); err != nil {
		return nil, err
	}
	if len(response.Versions) != len(txn.Writes) {
		return nil, &UnknownError{Cause: &ResponseError{Status: http.StatusOK}}
	}
	return response.Versions, nil
}

// call sends one request and decodes the response into out. Once anything may have been sent,
// every error except an explicit refusal is an *UnknownError.
func (c *Client) call(ctx context.Context, path string, request, out any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &InvalidError{Problem: err.Error()}
	}
	response, err := c.sender.Call(ctx, http.MethodPost, c.base+path, nil, body)
	var sendErr *httponce.Error
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return &UnavailableError{Cause: err}
	case err != nil:
		return &UnknownError{Cause: err}
	case response.Status != http.StatusOK:
		return statusError(response)
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return &UnknownError{Cause: &ResponseError{Status: response.Status, Cause: err}}
	}
	return nil
}

// statusError converts a response with a status other than 200 to an error.
func statusError(response *httponce.BufferedResponse) error {
	var r ErrorResponse
	if err := json.Unmarshal(response.Body, &r); err != nil {
		return &UnknownError{Cause: &ResponseError{Status: response.Status, Cause: err}}
	}
	switch {
	case response.Status == http.StatusConflict && r.Conflict != nil:
		return r.Conflict
	case response.Status == http.StatusBadRequest && r.Problem != "":
		return &InvalidError{Problem: r.Problem}
	case response.Status == http.StatusServiceUnavailable && r.Problem != "":
		return &UnavailableError{Cause: &ResponseError{Status: response.Status}}
	}
	return &UnknownError{Cause: &ResponseError{Status: response.Status}}
}
