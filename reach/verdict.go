package reach

import (
	"context"
	"errors"
	"net"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/loadshare"
)

// verdict is what the outcome of a hop says.
type verdict string

const (
	// responded means that the endpoint has responded, and broke that the request was sent to it and
	// got no response.
	responded verdict = "responded"
	broke     verdict = "broke"
	// refused means that the request was not sent to the endpoint for a reason other than its path.
	refused verdict = "refused"
	// unknown means that the exchange with the other VM was lost, so that it is unknown whether the
	// request ran.
	unknown verdict = "unknown"
	// cancelled means that the request has ended meanwhile.
	cancelled verdict = "cancelled"
	// noVM means that no VM could be asked, and abstains that the VM says nothing about the endpoint.
	noVM     verdict = "no-vm"
	abstains verdict = "abstains"
	// notReached means that the other VM does not reach the endpoint either.
	notReached verdict = "not-reached"
	// endpointDown means that the endpoint refuses connections of the other VM, which reaches others.
	endpointDown verdict = "endpoint-down"
)

// final reports whether the request may have reached the endpoint or must not be sent again.
func (v verdict) final() bool {
	return v.reached() || v == refused || v == unknown || v == cancelled
}

// concernsEndpoint reports whether a VM that has not reached the endpoint has said something about it.
func (v verdict) concernsEndpoint() bool { return v == endpointDown || v == notReached }

// reached reports whether the other VM has reached the endpoint.
func (v verdict) reached() bool { return v == responded || v == broke }

// verdicts sums up what several VMs say about an endpoint that none of them has reached. It does not
// depend on their order.
type verdicts struct {
	down, notReached bool
	// said is the number of VMs that have said something about the endpoint.
	said int
}

func (s *verdicts) add(v verdict) {
	s.down = s.down || v == endpointDown
	s.notReached = s.notReached || v == notReached
	if v.concernsEndpoint() {
		s.said++
	}
}

// answered reports whether a VM has said something about the endpoint.
func (s *verdicts) answered() bool { return s.said > 0 }

// sum returns the common verdict. An endpoint is down only if no VM merely fails to reach it, since
// the others may have lost the way to it.
func (s *verdicts) sum() verdict {
	switch {
	case s.notReached:
		return notReached
	case s.down:
		return endpointDown
	}
	return noVM
}

// judge classifies the outcome of a hop and records what it says about the VM.
func (c *Client) judge(ctx context.Context, vm VM, e *directory.Endpoint, err error) verdict {
	var reported *hop.Error
	var exchange *h1.Error
	switch {
	case err == nil:
		c.recordHelped(vm)
		return responded
	case errors.As(err, &reported):
		c.recordAnswered(vm)
		return c.judgeReport(vm, e, reported)
	case !errors.As(err, &exchange) || exchange.Sent:
		return unknown
	case ctx.Err() != nil:
		return cancelled
	}
	var withdrawn *failure.Request
	if errors.As(err, &withdrawn) {
		return refused
	}
	c.judgeLost(vm, err)
	return noVM
}

// judgeLost records that a VM was not reached. One that refuses or resets connections costs nothing to ask again, and its
// process may start any moment.
func (c *Client) judgeLost(vm VM, err error) {
	if isTimeout(err) {
		c.avoid(vm, nil, unresponsiveTTL, "the VM is not reached")
		return
	}
	c.demote(vm, unresponsiveTTL, "the VM refused or reset the connection")
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// judgeReady classifies the outcome of the question whether a VM would pass on a request, for which responded means that
// it would. Nothing of the request was sent.
func (c *Client) judgeReady(ctx context.Context, vm VM, e *directory.Endpoint, err error) verdict {
	var reported *hop.Error
	var exchange *h1.Error
	switch {
	case err == nil:
		c.recordAnswered(vm)
		return responded
	case errors.As(err, &reported) && reported.NotRun():
		c.recordAnswered(vm)
		return c.judgeReport(vm, e, reported)
	case ctx.Err() != nil:
		return cancelled
	case errors.As(err, &exchange) && exchange.Sent:
		c.demote(vm, unresponsiveTTL, "the VM does not respond")
	default:
		c.judgeLost(vm, err)
	}
	return noVM
}

// judgeReport classifies a failure that the other VM reported.
func (c *Client) judgeReport(vm VM, e *directory.Endpoint, reported *hop.Error) verdict {
	switch {
	case reported.Down:
		return endpointDown
	case !reported.NotRun():
		return broke
	case reported.Busy:
		c.avoid(vm, nil, busyTTL, "the VM passes on too many requests")
		return abstains
	case reported.Code == failure.Stopping:
		c.demote(vm, stoppingTTL, "the VM is about to stop")
		return abstains
	case reported.Code == failure.EndpointUnknown:
		c.avoid(vm, e, unknownTTL, "the VM does not know the endpoint")
		return abstains
	case reported.Code != failure.EndpointUnreachable:
		return refused
	}
	if reported.Impaired {
		c.ReceiveImpaired([]uint32{loadshare.Hash(vm.Name)})
	}
	c.avoid(vm, e, unreachedTTL, "the VM does not reach the endpoint either")
	if c.isImpaired(vm) {
		return abstains
	}
	return notReached
}
