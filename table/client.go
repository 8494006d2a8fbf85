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

// Client speaks HTTP/JSON to the platform's table service. It never repeats a
// request by itself, and says UnavailableError for a write only when nothing of
// it was sent or the service itself refused it.
type Client struct {
	base   string
	sender *httponce.Sender
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the service at address (host:port).
func NewClient(address string, c httponce.Config) *Client {
	return &Client{base: "http://" + address, sender: httponce.NewSender(c)}
}

// ResponseError is an answer that the client does not understand.
type ResponseError struct {
	// Status is the HTTP status.
	Status int
	// Cause is the failure to decode, or nil.
	Cause error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("table answer with status %d not understood: %v", e.Status, e.Cause)
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

// read sends a read. Whatever goes wrong, a read had no effect.
func (c *Client) read(ctx context.Context, path string, request any) ([]Row, error) {
	var answer RowsResponse
	err := c.call(ctx, path, request, &answer)
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		err = &UnavailableError{Cause: unknown.Cause}
	}
	return answer.Rows, err
}

// Commit implements Service.
func (c *Client) Commit(ctx context.Context, txn Txn) ([]Version, error) {
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	var answer CommitResponse
	if err := c.call(ctx, CommitPath, txn, &answer); err != nil {
		return nil, err
	}
	if len(answer.Versions) != len(txn.Writes) {
		return nil, &UnknownError{Cause: &ResponseError{Status: http.StatusOK}}
	}
	return answer.Versions, nil
}

// call sends one request and decodes its answer. Every error but an explicit
// refusal counts as unknown once anything may have been sent.
func (c *Client) call(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &InvalidError{Problem: err.Error()}
	}
	a, err := c.sender.Call(ctx, http.MethodPost, c.base+path, nil, body)
	var failed *httponce.Error
	switch {
	case errors.As(err, &failed) && !failed.Sent:
		return &UnavailableError{Cause: err}
	case err != nil:
		return &UnknownError{Cause: err}
	case a.Status != http.StatusOK:
		return refusal(a)
	}
	if err := json.Unmarshal(a.Body, answer); err != nil {
		return &UnknownError{Cause: &ResponseError{Status: a.Status, Cause: err}}
	}
	return nil
}

// refusal turns an answer other than 200 into an error.
func refusal(a *httponce.Answer) error {
	var r ErrorResponse
	if err := json.Unmarshal(a.Body, &r); err != nil {
		return &UnknownError{Cause: &ResponseError{Status: a.Status, Cause: err}}
	}
	switch {
	case a.Status == http.StatusConflict && r.Conflict != nil:
		return r.Conflict
	case a.Status == http.StatusBadRequest && r.Problem != "":
		return &InvalidError{Problem: r.Problem}
	case a.Status == http.StatusServiceUnavailable && r.Problem != "":
		return &UnavailableError{Cause: &ResponseError{Status: a.Status}}
	}
	return &UnknownError{Cause: &ResponseError{Status: a.Status}}
}
