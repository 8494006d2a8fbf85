package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

func newTestIntake() (*intake, *atomic.Int64) {
	uplink := &atomic.Int64{}
	i := newIntake(8e6, func() time.Duration { return time.Duration(uplink.Load()) }) // a byte takes a microsecond
	return i, uplink
}

// The backlog of the link are the bodies that are being read, the first requests of new connections, and what
// is sent to endpoints.
func TestBacklogOfLink(t *testing.T) {
	i, uplink := newTestIntake()
	now := time.Unix(1000, 0)
	i.now = func() time.Time { return now }
	i.meanBytes = 10_000
	c := &intakeConn{intake: i}
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := i.backlog(); got != want {
			t.Errorf("%s: backlog %v, want %v", what, got, want)
		}
	}
	expect("at first", 0)
	i.opened(c)
	expect("with a new connection", 10*time.Millisecond)
	r := (&http.Request{ContentLength: 50_000}).WithContext(connContext(context.Background(), c))
	done := i.reading(r)
	expect("while a body is read", 50*time.Millisecond)
	uplink.Store(int64(20 * time.Millisecond))
	expect("while another is sent on, which this one will wait for", 70*time.Millisecond)
	uplink.Store(0)
	done()
	done()
	expect("after it was read", 0)
	uplink.Store(int64(30 * time.Millisecond))
	expect("while something is sent", 30*time.Millisecond)
	uplink.Store(0)
	idle := &intakeConn{intake: i}
	i.opened(idle)
	now = now.Add(2 * firstRequestWait)
	expect("with a connection that stays idle", 0)
	i.reading(&http.Request{ContentLength: -1})()
	expect("after a body of unknown length", 0)
}

// Connections are refused while the link is busy and accepted again afterwards.
func TestListenerRefusesWhileLinkIsBusy(t *testing.T) {
	i, uplink := newTestIntake()
	address := ""
	l, err := newIntakeListener(i, func() (net.Listener, error) {
		if address == "" {
			first, err := net.Listen("tcp", "127.0.0.1:0")
			if err == nil {
				address = first.Addr().String()
			}
			return first, err
		}
		return net.Listen("tcp", address)
	})
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 100)
	go func() {
		for {
			c, err := l.Accept()
			accepted <- err
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	dial := func() error {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}
	if err := dial(); err != nil || <-accepted != nil {
		t.Fatalf("a connection to an idle VM: %v", err)
	}
	uplink.Store(int64(2 * maxLinkBacklog))
	dial() // finds out that the link is busy
	refused := 0
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		if dial() != nil {
			refused++
		}
	}
	if refused < 10 || len(accepted) > 0 {
		t.Errorf("%d of 20 connections were refused and %d accepted while the link is busy", refused, len(accepted))
	}
	uplink.Store(0)
	for end := time.Now().Add(2 * time.Second); dial() != nil || len(accepted) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection is accepted after the link is free again")
		}
	}
	uplink.Store(int64(time.Hour))
	dial()
	time.Sleep(20 * time.Millisecond)
	l.Close() // while connections are refused
	for {
		select {
		case err := <-accepted:
			if err == nil {
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept failed with %v", err)
			}
			return
		case <-time.After(2 * time.Second):
			t.Fatal("Accept does not return after the listener was closed")
		}
	}
}

// A port that cannot be opened again is tried until it can, and the first failure is returned.
func TestListenerIsOpenedAgainAfterFailures(t *testing.T) {
	i, uplink := newTestIntake()
	calls := 0
	failing := func() (net.Listener, error) {
		if calls++; calls == 2 || calls == 3 {
			return nil, errStoreUnavailable
		}
		return net.Listen("tcp", "127.0.0.1:0")
	}
	l, err := newIntakeListener(i, failing)
	if err != nil {
		t.Fatal(err)
	}
	l.acceptedAt = time.Now()
	uplink.Store(int64(2 * maxLinkBacklog))
	go net.Dial("tcp", l.Addr().String())
	go func() { time.Sleep(50 * time.Millisecond); uplink.Store(0) }()
	go func() { time.Sleep(time.Second); l.Close() }()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || calls != 4 {
		t.Errorf("Accept returned %v after %d calls of listen", err, calls)
	}
	if _, err := newIntakeListener(i, func() (net.Listener, error) { return nil, errStoreUnavailable }); err == nil {
		t.Error("a listener without a port")
	}
}

// A VM accepts a connection now and then however busy its link is, so that the load balancer does not take it
// out.
func TestBusyVMAcceptsConnectionsNowAndThen(t *testing.T) {
	i, uplink := newTestIntake()
	uplink.Store(int64(time.Hour))
	address := ""
	l, err := newIntakeListener(i, func() (net.Listener, error) {
		if address != "" {
			return net.Listen("tcp", address)
		}
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			address = first.Addr().String()
		}
		return first, err
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				if c, err := net.Dial("tcp", address); err == nil {
					defer c.Close()
				}
			}
		}
	}()
	for range 3 {
		start := time.Now()
		if _, err := l.Accept(); err != nil || time.Since(start) > maxRefusing+maxClosed+100*time.Millisecond {
			t.Errorf("Accept returned %v after %v", err, time.Since(start))
		}
	}
}
