package operator

import (
	"encoding/json"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/settings"
)

// Keys in the meta of a twirp error.
const (
	metaReason   = "reason"
	metaProblems = "problems"
)

var codes = map[failure.Reason]twirp.ErrorCode{
	failure.BadSettings:       twirp.InvalidArgument,
	failure.BadRequest:        twirp.InvalidArgument,
	failure.BadPlan:           twirp.FailedPrecondition,
	failure.NoSuchVersion:     twirp.NotFound,
	failure.NoSuchEndpoint:    twirp.NotFound,
	failure.ConfigConflict:    twirp.Aborted,
	failure.TableConflict:     twirp.Aborted,
	failure.TooLarge:          twirp.ResourceExhausted,
	failure.TableUnavailable:  twirp.Unavailable,
	failure.TableUnknown:      twirp.Unavailable,
	failure.ObjectUnavailable: twirp.Unavailable,
}

// toTwirp converts a failure to a twirp error with its code, reason and, for invalid settings, the
// problems as JSON.
func toTwirp(err error) error {
	reason := failure.ReasonOf(err)
	code, found := codes[reason]
	if !found {
		code = twirp.Internal
	}
	out := twirp.NewError(code, err.Error()).WithMeta(metaReason, string(reason))
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		problems, marshalErr := json.Marshal(invalid.Problems)
		if marshalErr == nil {
			out = out.WithMeta(metaProblems, string(problems))
		}
	}
	return out
}

// fromTwirp converts a twirp error back to a failure. The bool is false if the response didn't come
// from a controller: every failure of a controller carries a reason.
func fromTwirp(server string, err error) (*RemoteError, bool) {
	var wire twirp.Error
	if !errors.As(err, &wire) || wire.Meta(metaReason) == "" {
		return nil, false
	}
	remote := &RemoteError{Server: server, Code: failure.Reason(wire.Meta(metaReason)), Text: wire.Msg()}
	if problems := wire.Meta(metaProblems); problems != "" {
		if json.Unmarshal([]byte(problems), &remote.Problems) != nil {
			remote.Problems = nil
		}
	}
	return remote, true
}
