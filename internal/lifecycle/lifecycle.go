// Package lifecycle handles the signals of a daemon from the initialization of the process to its exit.
//
// A signal that nobody receives has its default action, which ends the process and cuts the responses that it is
// passing on. The signals are therefore registered when this package is initialized, before settings are read, and
// stay registered until the process has exited. Only programs import it.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
)

// maxPending is the number of signals that wait for their receiver. Further ones are dropped, which changes nothing: a
// second stop has no effect, and one reload follows the last hangup.
const maxPending = 1

var (
	stops   = register(syscall.SIGTERM, syscall.SIGINT)
	hangups = register(syscall.SIGHUP)
)

// A write to a log whose reader has gone must not end the process.
func init() { signal.Ignore(syscall.SIGPIPE) }

func register(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, maxPending)
	signal.Notify(c, signals...)
	return c
}

// Run calls serve with a context that ends at the first SIGTERM or SIGINT, and returns its result. Later ones are
// logged and have no effect: the stop that the first one began completes.
func Run(serve func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stops
		cancel()
		for s := range stops {
			klog.InfoS("lifecycle: already stopping, signal has no effect", "signal", s.String())
		}
	}()
	return serve(ctx)
}

// OnHangup calls f, which must not block for long, after each SIGHUP until the process exits, also while it stops.
// Hangups that arrive during a call lead to one further call. It returns at once and is called at most once.
func OnHangup(f func()) {
	go func() {
		for range hangups {
			f()
		}
	}()
}
