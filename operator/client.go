package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	pb "github.com/springweir/springweir/operator/operatorpb"
)

// Times of a call.
const (
	// serverTimeout bounds one try at one server.
	serverTimeout = 10 * time.Second
	// waitPoll is between two looks at a pending version.
	waitPoll = 500 * time.Millisecond
)

// Client calls the operator API of one of several controllers. It goes on to
// the next when one does not answer or cannot reach the platform. That is safe
// for every call: reads change nothing, and writes carry a write id.
type Client struct {
	servers []server
}

type server struct {
	address string
	api     pb.Operator
}

// NewClient returns a client of the controllers at the addresses (host:port).
func NewClient(addresses []string, over *http.Client) *Client {
	c := &Client{}
	for _, address := range addresses {
		c.servers = append(c.servers, server{address, pb.NewOperatorProtobufClient("http://"+address, over)})
	}
	return c
}

// call tries the servers in turn. The error is *RemoteError, or
// *UnreachableError when none could tell.
func call[Req, Resp any](ctx context.Context, c *Client, method func(pb.Operator, context.Context, Req) (Resp, error), req Req) (Resp, error) {
	var none Resp
	unreachable := &UnreachableError{}
	for _, s := range c.servers {
		resp, err := tryServer(ctx, s, method, req)
		if err == nil {
			return resp, nil
		}
		remote, answered := fromTwirp(s.address, err)
		if answered && !elsewhere(remote.Code) {
			return none, remote
		}
		if answered {
			err = remote
		}
		unreachable.Errors = append(unreachable.Errors, eris.Wrap(err, s.address))
		if ctx.Err() != nil {
			break
		}
	}
	return none, unreachable
}

func tryServer[Req, Resp any](ctx context.Context, s server, method func(pb.Operator, context.Context, Req) (Resp, error), req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	return method(s.api, ctx, req)
}

// elsewhere tells whether another controller may answer better: this one
// cannot reach the platform.
func elsewhere(reason failure.Reason) bool {
	switch reason {
	case failure.TableUnavailable, failure.TableUnknown, failure.ObjectUnavailable:
		return true
	}
	return false
}

// GetConfig reads a version; zero is the newest.
func (c *Client) GetConfig(ctx context.Context, version uint64) (*pb.Config, error) {
	return call(ctx, c, pb.Operator.GetConfig, &pb.GetConfigRequest{Version: version})
}

// PutConfig commits an edit. The error is *ConflictError when another edit came
// first.
func (c *Client) PutConfig(ctx context.Context, req *pb.PutConfigRequest) (*pb.ConfigState, error) {
	resp, err := call(ctx, c, pb.Operator.PutConfig, req)
	if err != nil {
		return nil, err
	}
	if !resp.Committed {
		return nil, &ConflictError{Base: req.Base, Newest: resp.Newest}
	}
	return resp.State, nil
}

// ConfigStatus tells how far a version has come; zero is the newest.
func (c *Client) ConfigStatus(ctx context.Context, version uint64) (*pb.ConfigState, error) {
	return call(ctx, c, pb.Operator.ConfigStatus, &pb.ConfigStatusRequest{Version: version})
}

// History lists versions below before, newest first; zero starts at the newest.
func (c *Client) History(ctx context.Context, before uint64, limit uint32) ([]*pb.Config, error) {
	resp, err := call(ctx, c, pb.Operator.History, &pb.HistoryRequest{Before: before, Limit: limit})
	return resp.GetVersions(), err
}

// Plan marks an endpoint in the tree, or previews that.
func (c *Client) Plan(ctx context.Context, req *pb.PlanRequest) (*pb.PlanResponse, error) {
	return call(ctx, c, pb.Operator.Plan, req)
}

// Status tells how the fleet is.
func (c *Client) Status(ctx context.Context) (*pb.FleetStatus, error) {
	return call(ctx, c, pb.Operator.Status, &pb.StatusRequest{})
}

// WaitAccepted waits until a version is in force everywhere. The error is
// *PendingError with the last state seen when ctx ends first. A controller that
// cannot be reached meanwhile is asked again.
func (c *Client) WaitAccepted(ctx context.Context, state *pb.ConfigState) (*pb.ConfigState, error) {
	for !state.Accepted {
		if !loop.Sleep(ctx, waitPoll) {
			return state, &PendingError{State: state}
		}
		now, err := c.ConfigStatus(ctx, state.Version)
		var unreachable *UnreachableError
		switch {
		case err == nil:
			state = now
		case !errors.As(err, &unreachable):
			return state, err
		}
	}
	return state, nil
}
