// Package port keeps servers on their ports. A port that another process has, or whose listener fails, is opened again
// and again, so that one part of a process does not end the others.
package port

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
)

const (
	// retryMin and retryMax bound the mean pause before a port is opened again; the pause doubles with each failure.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// logEvery is the number of failures in a row of which one is logged, after the first.
	logEvery = 30
)

// Retry calls open until it succeeds or ctx ends, and returns its value and whether it succeeded.
func Retry[T any](ctx context.Context, name string, open func() (T, error)) (value T, opened bool) {
	for failures := 0; ; failures++ {
		value, err := open()
		if err == nil {
			return value, true
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_port_failures_total{port=%q}`, name)).Inc()
		if failures%logEvery == 0 {
			klog.ErrorS(err, "port: cannot be opened, will be tried again", "port", name, "failures", failures+1)
		}
		if !loop.Sleep(ctx, loop.Jitter(min(retryMin<<min(failures, 8), retryMax))) {
			return value, false
		}
	}
}

// Port is a port with the server on it.
type Port struct {
	// Name names the port in logs and metrics.
	Name   string
	Server *http.Server
	Listen func() (net.Listener, error)
	// OnChange is called with whether the port accepts connections, after it was opened and after it failed. It may be nil.
	OnChange func(open bool)
}

// Open opens the port. It returns nil if ctx ends before that is possible.
func (p *Port) Open(ctx context.Context) net.Listener {
	l, opened := Retry(ctx, p.Name, p.Listen)
	if !opened {
		return nil
	}
	klog.InfoS("port: listening", "port", p.Name, "address", l.Addr().String())
	p.notify(true)
	return l
}

// Serve serves on l, or on a listener of its own if l is nil, until the server is shut down or ctx ends. A listener that
// fails is replaced.
func (p *Port) Serve(ctx context.Context, l net.Listener) {
	for {
		if l == nil {
			if l = p.Open(ctx); l == nil {
				return
			}
		}
		err := p.Server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		l = nil
		metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_port_failures_total{port=%q}`, p.Name)).Inc()
		klog.ErrorS(err, "port: listener failed, opening the port again", "port", p.Name)
		p.notify(false)
		if !loop.Sleep(ctx, loop.Jitter(retryMin)) {
			return
		}
	}
}

func (p *Port) notify(open bool) {
	if p.OnChange != nil {
		p.OnChange(open)
	}
}
