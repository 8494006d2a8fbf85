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
)

// Order implements Engine. Each order has a connection of its own, so that no
// other traffic can hold it up or bring it back, and the deadline binds three
// places where the order could wait:
//
//   - in this process: the deadline is looked at right before the one write,
//     and the connection's own deadline ends a write that blocks;
//   - in this VM's kernel, unsent because the engine's receive window is shut or
//     the network drops packets: TCP_USER_TIMEOUT, set to the time left, makes
//     the kernel give up even while this process is paused, and SO_LINGER of
//     zero makes it throw away what is unsent when the connection is closed;
//   - at the engine, behind other work: out of reach, see below.
//
// What stays open: a process paused between the look at the clock and the
// write system call, which are adjacent, sends on waking (the runtime's own
// deadline may or may not have fired by then); a VM whose monotonic clock
// stands still while it is suspended; and bytes that left in time but are
// still in the network or in the engine's receive buffer. An engine that checks
// fencing numbers refuses such an order. For one that does not, the successor
// must wait for the predecessor's word (see package lease).
//
// It fails with *StaleFenceError, *IncarnationError, *BusyError or
// *RefusedError when the engine refused, and else with *UnreachableError.
func (c *Client) Order(ctx context.Context, o Order, deadline time.Time) (OrderState, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	message, err := c.orderMessage(o)
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
	if err := bindDeadline(conn, deadline); err != nil {
		return OrderState{}, &UnreachableError{Cause: err}
	}
	if time.Until(deadline) <= 0 {
		return OrderState{}, &UnreachableError{Cause: context.DeadlineExceeded}
	}
	n, err := conn.Write(message)
	if err != nil {
		return OrderState{}, &UnreachableError{Sent: n > 0, Cause: err}
	}
	return readOrderState(conn, o)
}

// orderMessage is the whole request, so that one write sends it.
func (c *Client) orderMessage(o Order) ([]byte, error) {
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

func bindDeadline(conn net.Conn, deadline time.Time) error {
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
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return s, &UnreachableError{Sent: true, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, orderRefusal(resp, o)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	if err == nil && s.ID != o.ID {
		err = &FrameError{Code: failure.AnswerMismatch, Detail: "answer is for order " + s.ID}
	}
	if err != nil {
		return OrderState{}, &UnreachableError{Sent: true, Cause: err}
	}
	return s, nil
}

func orderRefusal(resp *http.Response, o Order) error {
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

// RefusalOf returns the refusal that tells of an order's failure, for servers.
func RefusalOf(err error) Refusal {
	r := Refusal{Reason: failure.ReasonOf(err), Message: err.Error(), NotRun: true}
	var stale *StaleFenceError
	var other *IncarnationError
	var busy *BusyError
	switch {
	case errors.As(err, &stale):
		r.HighestFence = stale.Highest
	case errors.As(err, &other):
		r.Have = other.Have
	case errors.As(err, &busy):
		r.Running = busy.Running
	}
	return r
}
