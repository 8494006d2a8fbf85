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

// Timing of calls.
const (
	// serverTimeout bounds one attempt at one server.
	serverTimeout = 10 * time.Second
	// waitPoll is the interval between two polls of a pending version's state.
	waitPoll = 500 * time.Millisecond
)

// Client calls the operator API of one of several controllers. If a controller doesn't respond or
// can't reach the platform, the client tries the next one. That is safe for every call: reads change
// nothing, and writes carry a write id.
type Client struct {
	servers []server
}

type server struct {
	address string
	api     pb.Operator
}

// NewClient returns a client of the controllers at the addresses (host:port).
func NewClient(addresses []string, httpClient *http.Client) *Client {
	c := &Client{}
	for _, address := range addresses {
		c.servers = append(c.servers, server{address, pb.NewOperatorProtobufClient("http://"+address, httpClient)})
	}
	return c
}

// call tries the servers in order. The error is *RemoteError, or *UnreachableError if no server
// gave a conclusive response.
func call[Req, Resp any](ctx context.Context, c *Client, method func(pb.Operator, context.Context, Req) (Resp, error), req Req) (Resp, error) {
	var none Resp
	unreachable := &UnreachableError{}
	for _, s := range c.servers {
		resp, err := tryServer(ctx, s, method, req)
		if err == nil {
			return resp, nil
		}
		remote, fromController := fromTwirp(s.address, err)
		if fromController && !mayRetryElsewhere(remote.Code) {
			return none, remote
		}
		if fromController {
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

// mayRetryElsewhere reports whether the call may succeed at another controller because this one can't
// reach the platform.
func mayRetryElsewhere(reason failure.Reason) bool {
	switch reason {
	case failure.TableUnavailable, failure.TableUnknown, failure.ObjectUnavailable:
		return true
	}
	return false
}

// GetConfig reads a version; zero selects the newest.
func (c *Client) GetConfig(ctx context.Context, version uint64) (*pb.Config, error) {
	return call(ctx, c, pb.Operator.GetConfig, &pb.GetConfigRequest{Version: version})
}

// PutConfig commits an edit. The error is *ConflictError if another edit was committed on the same
// base first.
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

// ConfigStatus returns the rollout state of a version; zero selects the newest.
func (c *Client) ConfigStatus(ctx context.Context, version uint64) (*pb.ConfigState, error) {
	return call(ctx, c, pb.Operator.ConfigStatus, &pb.ConfigStatusRequest{Version: version})
}

// History lists versions below before, newest first; zero starts at the newest.
func (c *Client) History(ctx context.Context, before uint64, limit uint32) ([]*pb.Config, error) {
	resp, err := call(ctx, c, pb.Operator.History, &pb.HistoryRequest{Before: before, Limit: limit})
	return resp.GetVersions(), err
}

// Plan edits the keys of an endpoint in the settings tree, or previews the edit.
func (c *Client) Plan(ctx context.Context, req *pb.PlanRequest) (*pb.PlanResponse, error) {
	return call(ctx, c, pb.Operator.Plan, req)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (*pb.FleetStatus, error) {
	return call(ctx, c, pb.Operator.Status, &pb.StatusRequest{})
}

// WaitAccepted polls until a version is active in all zones. If ctx ends first, the error is
// *PendingError with the last state received. While no controller is reachable, the polling
// continues.
func (c *Client) WaitAccepted(ctx context.Context, state *pb.ConfigState) (*pb.ConfigState, error) {
	for !state.Accepted {
		if !loop.Sleep(ctx, waitPoll) {
			return state, &PendingError{State: state}
		}
		current, err := c.ConfigStatus(ctx, state.Version)
		var unreachable *UnreachableError
		switch {
		case err == nil:
			state = current
		case !errors.As(err, &unreachable):
			return state, err
		}
	}
	return state, nil
}
