package failure

import "net/http"

// Reasons of failures that callers can see.
const (
	// Internal is an internal error of springweir.
	Internal Reason = "internal"
	// BadRequest is an invalid request.
	BadRequest Reason = "bad-request"
	// Unauthorised is a missing or unknown API key.
	Unauthorised Reason = "unauthorised"
	// KeyMissing is a request without a required API key.
	KeyMissing Reason = "key-missing"
	// KeyMalformed is a request with a malformed API key or with several keys.
	KeyMalformed Reason = "key-malformed"
	// KeyUnknown is an API key that belongs to no organisation, or no longer does.
	KeyUnknown Reason = "key-unknown"
	// NotAllowed is a model, service or priority that the organisation may not use.
	NotAllowed Reason = "not-allowed"
	// NoSuchModel is a model that no pool serves.
	NoSuchModel Reason = "no-such-model"
	// NoSuchService is a service that is not in the configuration tree.
	NoSuchService Reason = "no-such-service"
	// NoSuchPath is a path or method that the API does not define.
	NoSuchPath Reason = "no-such-path"
	// TooLarge is a body that exceeds the size limit.
	TooLarge Reason = "too-large"
	// DeadlineUnreachable is a request rejected because it could not finish by its deadline.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// DeadlinePassed is a request whose deadline passed before its response was complete.
	DeadlinePassed Reason = "deadline-passed"
	// QueueFull is a request rejected because its queue is full.
	QueueFull Reason = "queue-full"
	// OrganisationLimit is a request that exceeds its organisation's limit.
	OrganisationLimit Reason = "organisation-limit"
	// FairShare is a request rejected because its service has too little capacity and the share of its
	// organisation and priority is used up.
	FairShare Reason = "fair-share"
	// NoEndpoint is a request for which no endpoint is currently available.
	NoEndpoint Reason = "no-endpoint"
	// EndpointsLimited is a request that may currently be sent to no endpoint because of the rate
	// limits and backoffs that the endpoints reported.
	EndpointsLimited Reason = "endpoints-limited"
	// EndpointRefused is a request that the endpoint rejected before starting it.
	EndpointRefused Reason = "endpoint-refused"
	// EndpointUnreachable is a request of which no byte could be written to the endpoint.
	EndpointUnreachable Reason = "endpoint-unreachable"
	// EndpointDown is a request that another VM could not pass on, because the endpoint refused the
	// connection.
	EndpointDown Reason = "endpoint-down"
	// EndpointUnknown is a request for an endpoint that the VM asked to pass it on does not know.
	EndpointUnknown Reason = "endpoint-unknown"
	// VMBusy is a request that another VM did not pass on, because it passes on too many.
	VMBusy Reason = "vm-busy"
	// EndpointBroke is a request whose connection failed after part of it was written.
	EndpointBroke Reason = "endpoint-broke"
	// EndpointClosed is a request whose endpoint closed the connection before it responded.
	EndpointClosed Reason = "endpoint-closed"
	// EndpointFailed is a request for which the endpoint returned an error.
	EndpointFailed Reason = "endpoint-failed"
	// EndpointStalled is an attempt cancelled because the endpoint was unresponsive.
	EndpointStalled Reason = "endpoint-stalled"
	// AnswerTruncated is a response stream that ended without its terminal frame.
	AnswerTruncated Reason = "answer-truncated"
	// AnswerUnread is a response stream that the endpoint broke off after the caller had not read it for a while.
	AnswerUnread Reason = "answer-unread"
	// AnswerMismatch is a response that belongs to another attempt.
	AnswerMismatch Reason = "answer-mismatch"
	// ClaimUnavailable is a call rejected because its claim could not be recorded.
	ClaimUnavailable Reason = "claim-unavailable"
	// ClaimInProgress is a retry of a call that is still running.
	ClaimInProgress Reason = "claim-in-progress"
	// ClaimUnknown is a retry of a call whose result was lost.
	ClaimUnknown Reason = "claim-unknown"
	// KeyReused is an idempotency key reused with a different request.
	KeyReused Reason = "key-reused"
	// ConfigUnconfirmed is a request rejected by a VM whose configuration may be stale.
	ConfigUnconfirmed Reason = "config-unconfirmed"
	// ConfigMalformed is a request that depends on a malformed part of the configuration.
	ConfigMalformed Reason = "config-malformed"
	// EndpointWithheld is work rejected because a planned change is about to make
	// the endpoint unavailable.
	EndpointWithheld Reason = "endpoint-withheld"
	// EndpointLeaving is work rejected because the endpoint is about to stop.
	EndpointLeaving Reason = "endpoint-leaving"
	// PlanChanged is an attempt not sent because the state that its plan relied on has changed.
	PlanChanged Reason = "plan-changed"
	// Stopping is a request rejected by a VM that is shutting down.
	Stopping Reason = "stopping"
	// NoSuchRoute is a host and path that match no route.
	NoSuchRoute Reason = "no-such-route"
	// MemoryFull is a request rejected because the requests that the VM holds leave no memory for it.
	MemoryFull Reason = "memory-full"
	// NoConfig is a request rejected by a VM that has not loaded a configuration yet.
	NoConfig Reason = "no-config"
	// CallerGone is a request whose caller disconnected.
	CallerGone Reason = "caller-gone"
	// RetryBudget is a retry not made because the retry budget was exhausted.
	RetryBudget Reason = "retry-budget"
	// CrashesEndpoints is a request rejected because endpoints crashed each time it ran. The
	// rejection is final: every VM rejects the same request.
	CrashesEndpoints Reason = "crashes-endpoints"
	// PartCrashesEndpoints is a request rejected because endpoints crashed each time they ran requests
	// with a part of its prompt. The rejection is final.
	PartCrashesEndpoints Reason = "part-crashes-endpoints"
	// OriginUnknown is a request that takes up a stream of which it is not known which software version
	// began it.
	OriginUnknown Reason = "origin-unknown"
	// SoftwareGone is a request that takes up a stream whose software version no endpoint runs any more.
	SoftwareGone Reason = "software-gone"
	// CrashSuspected is a request blocked until it is known whether it crashed endpoints.
	CrashSuspected Reason = "crash-suspected"
)

// Reasons of failures of platform calls, of calls between processes and of orders.
const (
	// TableUnavailable is a failed table call that is known to have had no effect.
	TableUnavailable Reason = "table-unavailable"
	// TableUnknown is a table write that may or may not have taken effect.
	TableUnknown Reason = "table-unknown"
	// TableConflict is a conditional write whose condition did not hold.
	TableConflict Reason = "table-conflict"
	// TableInvalid is a table request that exceeds a limit or is malformed.
	TableInvalid Reason = "table-invalid"
	// TableSuperseded is a table write that may have been overwritten by another writer's later write.
	TableSuperseded Reason = "table-superseded"
	// TableHistoryGone is a query for changes that the table no longer retains.
	TableHistoryGone Reason = "table-history-gone"
	// TableEpochOver is a response or condition from before the store was restored from a backup.
	TableEpochOver Reason = "table-epoch-over"

	// FeedNotReader is a query for a table sent to a VM that is not currently reading it from the store.
	FeedNotReader Reason = "feed-not-reader"
	// FeedBehind is a response from a VM whose copy of a table is older than the requester's.
	FeedBehind Reason = "feed-behind"
	// FeedSilent is a VM that did not respond to a query for a table.
	FeedSilent Reason = "feed-silent"
	// ObjectUnavailable is an object store call that failed.
	ObjectUnavailable Reason = "object-unavailable"
	// ObjectInvalid is an object that exceeds a limit of the store.
	ObjectInvalid Reason = "object-invalid"
	// ObjectMissing is an object that does not exist.
	ObjectMissing Reason = "object-missing"
	// MembershipUnavailable is a membership list that could not be read.
	MembershipUnavailable Reason = "membership-unavailable"
	// WeightsUnavailable is a weight store that could not be reached.
	WeightsUnavailable Reason = "weights-unavailable"
	// WeightsMissing is an artifact that is not in the weight store.
	WeightsMissing Reason = "weights-missing"
	// WeightsLimited is a fetch rejected by the weight store's rate limit.
	WeightsLimited Reason = "weights-limited"
	// StaleFence is an order that an engine rejected because of an outdated fencing token.
	StaleFence Reason = "stale-fence"
	// WrongIncarnation is an order addressed to an earlier incarnation of the engine.
	WrongIncarnation Reason = "wrong-incarnation"
	// EngineBusy is an order rejected because another order is running.
	EngineBusy Reason = "engine-busy"
	// PeerUnreachable is a failed call to another springweir process.
	PeerUnreachable Reason = "peer-unreachable"
	// DutyRefused is a call made by a duty that the platform rejected.
	DutyRefused Reason = "duty-refused"
	// LeaseLost is an action not performed because the lease is not held.
	LeaseLost Reason = "lease-lost"
)

// Reasons of failures reported to operators.
const (
	// BadSettings is a settings text that failed validation.
	BadSettings Reason = "bad-settings"
	// ConfigConflict is a configuration change that lost to a concurrent one.
	ConfigConflict Reason = "config-conflict"
	// ConfigPending is a configuration that is not yet active on every VM.
	ConfigPending Reason = "config-pending"
	// NoSuchVersion is a configuration version that does not exist.
	NoSuchVersion Reason = "no-such-version"
	// NoSuchEndpoint is an endpoint that is not in the configuration tree.
	NoSuchEndpoint Reason = "no-such-endpoint"
	// BadPlan is an invalid planned change.
	BadPlan Reason = "bad-plan"
	// OperatorUnreachable is a call to a controller's operator API that got no response.
	OperatorUnreachable Reason = "operator-unreachable"
)

var statusByReason = map[Reason]int{
	BadRequest:           http.StatusBadRequest,
	Unauthorised:         http.StatusUnauthorized,
	KeyMissing:           http.StatusUnauthorized,
	KeyMalformed:         http.StatusUnauthorized,
	KeyUnknown:           http.StatusUnauthorized,
	NotAllowed:           http.StatusForbidden,
	NoSuchModel:          http.StatusNotFound,
	NoSuchService:        http.StatusNotFound,
	NoSuchPath:           http.StatusNotFound,
	TooLarge:             http.StatusRequestEntityTooLarge,
	DeadlineUnreachable:  http.StatusServiceUnavailable,
	MemoryFull:           http.StatusServiceUnavailable,
	DeadlinePassed:       http.StatusGatewayTimeout,
	QueueFull:            http.StatusServiceUnavailable,
	OrganisationLimit:    http.StatusTooManyRequests,
	FairShare:            http.StatusServiceUnavailable,
	NoEndpoint:           http.StatusServiceUnavailable,
	EndpointRefused:      http.StatusServiceUnavailable,
	EndpointUnreachable:  http.StatusBadGateway,
	EndpointDown:         http.StatusBadGateway,
	EndpointUnknown:      http.StatusServiceUnavailable,
	VMBusy:               http.StatusServiceUnavailable,
	EndpointBroke:        http.StatusBadGateway,
	EndpointClosed:       http.StatusBadGateway,
	EndpointFailed:       http.StatusBadGateway,
	EndpointStalled:      http.StatusBadGateway,
	AnswerTruncated:      http.StatusBadGateway,
	AnswerUnread:         http.StatusBadGateway,
	AnswerMismatch:       http.StatusBadGateway,
	ClaimUnavailable:     http.StatusServiceUnavailable,
	ClaimInProgress:      http.StatusConflict,
	ClaimUnknown:         http.StatusConflict,
	KeyReused:            http.StatusUnprocessableEntity,
	ConfigUnconfirmed:    http.StatusServiceUnavailable,
	ConfigMalformed:      http.StatusServiceUnavailable,
	EndpointWithheld:     http.StatusServiceUnavailable,
	EndpointsLimited:     http.StatusServiceUnavailable,
	PlanChanged:          http.StatusServiceUnavailable,
	EndpointLeaving:      http.StatusServiceUnavailable,
	Stopping:             http.StatusServiceUnavailable,
	NoSuchRoute:          http.StatusNotFound,
	NoConfig:             http.StatusServiceUnavailable,
	CallerGone:           499,
	CrashesEndpoints:     http.StatusBadRequest, // a client error, so that clients do not retry
	PartCrashesEndpoints: http.StatusBadRequest,
	CrashSuspected:       http.StatusServiceUnavailable,
	OriginUnknown:        http.StatusServiceUnavailable,
	SoftwareGone:         http.StatusServiceUnavailable,
	RetryBudget:          http.StatusServiceUnavailable,
}
