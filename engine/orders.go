package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/h1"
)

// Order implements Engine. Each order uses a dedicated connection, so that other
// traffic can neither delay nor replay it. An order can be delayed in three places:
//
//   - in this process: the deadline is checked immediately before the single
//     write, and the connection's deadline ends a write that blocks;
//   - in this VM's kernel, unsent because the engine's receive window is closed or
//     the network drops packets: TCP_USER_TIMEOUT, set to the time remaining, makes
//     the kernel give up even while this process is paused, and SO_LINGER of
//     zero makes it discard unsent data when the connection is closed;
//   - at the engine, behind other work: this side cannot bound that delay.
//
// An order can still take effect after the deadline in three cases: the process is
// paused between the deadline check and the write system call, which are adjacent,
// and sends on resuming (the runtime's deadline may or may not have fired by then);
// the VM's monotonic clock stops while the VM is suspended; or bytes sent in time
// are still in the network or in the engine's receive buffer. An engine that checks
// fencing tokens refuses such an order. For one that does not, the lease's next
// holder must wait for its predecessor's confirmation (see package lease).
//
// It fails with *StaleFenceError, *IncarnationError, *BusyError or
// *RefusedError if the engine refuses the order, otherwise with *UnreachableError.
func (c *Client) Order(ctx context.Context, o Order, deadline time.Time) (OrderState, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	encoded, err := c.encodeOrder(o)
	if err != nil {
		return OrderState{}, &UnreachableError{Cause: err}
	}
	conn, err := c.dialOrder(ctx)
	if err != nil {
		return OrderState{}, &UnreachableError{Cause: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := setConnDeadline(conn, deadline); err != nil {
		return OrderState{}, &UnreachableError{Cause: err}
	}
	if time.Until(deadline) <= 0 {
		return OrderState{}, &UnreachableError{Cause: context.DeadlineExceeded}
	}
	n, err := conn.Write(encoded)
	if err != nil {
		return OrderState{}, &UnreachableError{Sent: n > 0, Cause: err}
	}
	return readOrderState(conn, o)
}

// encodeOrder returns the complete HTTP request, so that a single write sends it.
func (c *Client) encodeOrder(o Order) ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, c.url(OrderPath), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	var buf bytes.Buffer
	err = req.Write(&buf)
	return buf.Bytes(), err
}

func (c *Client) dialOrder(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	if c.opts.Dial != nil {
		return c.opts.Dial(ctx, "tcp", c.opts.Address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", c.opts.Address)
}

// setConnDeadline limits conn's reads and writes to deadline. For TCP it also
// bounds the kernel's retransmission and discards unsent data on close.
func setConnDeadline(conn net.Conn, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return err
	}
	return setUserTimeout(tcp, time.Until(deadline))
}

func readOrderState(conn net.Conn, o Order) (OrderState, error) {
	var s OrderState
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxOrderResponse)), nil)
	if err == nil {
		err = h1.CheckHead(resp)
	}
	if err != nil {
		return s, &UnreachableError{Sent: true, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, orderRefusalError(resp, o)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	if err == nil && s.ID != o.ID {
		err = &FrameError{Code: failure.AnswerMismatch, Detail: "response is for order " + s.ID}
	}
	if err != nil {
		return OrderState{}, &UnreachableError{Sent: true, Cause: err}
	}
	return s, nil
}

// orderRefusalError converts a non-200 response into an error. A refusal that does
// not rule out execution becomes *UnreachableError with Sent set.
func orderRefusalError(resp *http.Response, o Order) error {
	r, err := readRefusal(resp)
	if err != nil {
		return &UnreachableError{Sent: true, Cause: err}
	}
	switch r.Reason {
	case failure.StaleFence:
		return &StaleFenceError{Sent: o.Fence, Highest: r.HighestFence}
	case failure.WrongIncarnation:
		return &IncarnationError{Want: o.Incarnation, Have: r.Have}
	case failure.EngineBusy:
		return &BusyError{Running: r.Running}
	}
	if !r.NotRun {
		return &UnreachableError{Sent: true, Cause: &RefusedError{Code: r.Reason, Message: r.Message}}
	}
	return &RefusedError{Code: r.Reason, Message: r.Message}
}

// RefusalOf converts an order error into the Refusal that a server sends.
func RefusalOf(err error) Refusal {
	r := Refusal{Reason: failure.ReasonOf(err), Message: err.Error(), NotRun: true}
	var stale *StaleFenceError
	var incarnation *IncarnationError
	var busy *BusyError
	switch {
	case errors.As(err, &stale):
		r.HighestFence = stale.Highest
	case errors.As(err, &incarnation):
		r.Have = incarnation.Have
	case errors.As(err, &busy):
		r.Running = busy.Running
	}
	return r
}
