package settings

import (
	"os"
	"reflect"
	"time"
)

// Gateway holds the settings of a gateway that are not part of the platform's settings file. Every
// key has a default.
type Gateway struct {
	// MetricsPort is the port of the metrics page; zero disables it.
	MetricsPort int `key:"metrics-port"`
	// LogLevel is the log verbosity: 0 logs decisions and changes, higher levels log more.
	LogLevel int `key:"log-level"`
	// LogRate is the maximum number of log lines per second.
	LogRate float64 `key:"log-rate"`
	// PrefillShare is the fraction of a service's engines that prefill before there is any load.
	PrefillShare float64 `key:"prefill-share"`
	// ObjectiveFraction is the fraction of a route's latency objective within which the first event
	// must be predicted for a request to be accepted.
	ObjectiveFraction float64 `key:"in-time"`
	// MinRetryAfter is the minimum retry delay that a rejected caller receives.
	MinRetryAfter time.Duration `key:"come-back"`
	// OrderEndpoints enables scaling orders for services whose number of endpoints may be changed.
	OrderEndpoints bool `key:"order-endpoints"`
	// ScaleByDemand makes the ordered numbers follow the load.
	ScaleByDemand bool `key:"scale-by-demand"`
	// ResponseHeadLimit bounds the head of a response, and ResponseLineLimit one of its lines, in bytes.
	ResponseHeadLimit int `key:"response-head-limit"`
	ResponseLineLimit int `key:"response-line-limit"`
	// InterimResponseLimit bounds the interim responses to one request.
	InterimResponseLimit int `key:"interim-response-limit"`
	// DiscardLimit bounds the body of a response to another request, in bytes.
	DiscardLimit int64 `key:"discard-limit"`
	// EventLimit bounds one event of a stream, in bytes.
	EventLimit int `key:"event-limit"`
	// EndpointPace enables predictions at the relative speed of each endpoint.
	EndpointPace bool `key:"endpoint-pace"`
	// FairShares enables fair shares of services that have less capacity than is requested.
	FairShares bool `key:"fair-shares"`
	// FairEngineShares enables them for services of engines too.
	FairEngineShares bool `key:"fair-engine-shares"`
	// PredictServiceTime, RefuseLateCalls and SlowIsNotDead decide how requests to plain services are placed, as
	// in placement.Tuning.
	PredictServiceTime bool `key:"service-time-prediction"`
	RefuseLateCalls    bool `key:"refuse-late-calls"`
	SlowIsNotDead      bool `key:"slow-is-not-dead"`
}

var inGateway = []Kind{GatewayKind}

var gatewayKeys = []Key{
	{Name: "metrics-port", Type: Integer, Kinds: inGateway, Default: "9464", Min: "0", Max: "65535", Doc: "Port of /metrics on the VM's address; 0 serves none."},
	{Name: "log-level", Type: Integer, Kinds: inGateway, Default: "0", Min: "0", Max: "5", Doc: "Verbosity of the log; 0 logs decisions, changes and failures."},
	{Name: "log-rate", Type: Rate, Kinds: inGateway, Default: "1500/s", Min: "10/s", Max: "100000/s", Doc: "Bound of the lines logged; those above it are dropped and counted."},
	{Name: "prefill-share", Type: Percent, Kinds: inGateway, Default: "60%", Min: "0%", Max: "95%", Doc: "Part of a service's engines that prefill before there is any work; after that the work decides."},
	{Name: "in-time", Type: Percent, Kinds: inGateway, Default: "90%", Min: "10%", Max: "1000%", Doc: "Part of a route's objective within which the first event must be predicted for a request to be taken."},
	{Name: "come-back", Type: Duration, Kinds: inGateway, Default: "100ms", Min: "1ms", Max: "1m", Doc: "Least time after which a refused caller is told to come back."},
	{Name: "order-endpoints", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether the number of endpoints is ordered where the platform lets it be changed."},
	{Name: "scale-by-demand", Type: Flag, Kinds: inGateway, Default: "no", Doc: "Whether the number of endpoints that is ordered follows the load; otherwise it follows the number that was installed."},
	{Name: "response-head-limit", Type: Size, Kinds: inGateway, Default: "64KiB", Min: "4KiB", Max: "1MiB", Doc: "Largest head of a response of an endpoint, the store or another VM; a larger one fails the attempt."},
	{Name: "response-line-limit", Type: Size, Kinds: inGateway, Default: "16KiB", Min: "1KiB", Max: "1MiB", Doc: "Longest line of such a head."},
	{Name: "interim-response-limit", Type: Integer, Kinds: inGateway, Default: "8", Min: "1", Max: "100", Unit: "responses", Doc: "Most interim responses (1xx) to one request."},
	{Name: "discard-limit", Type: Size, Kinds: inGateway, Default: "64KiB", Min: "1KiB", Max: "1MiB", Doc: "Largest body of a response to another request that is discarded to reach the response to this one."},
	{Name: "event-limit", Type: Size, Kinds: inGateway, Default: "1MiB", Min: "4KiB", Max: "4MiB", Doc: "Largest event of a stream; a larger one fails the attempt."},
	{Name: "endpoint-pace", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether the relative speed of each endpoint is learned and used in predictions; otherwise endpoints of a service and role count as equally fast."},
	{Name: "fair-shares", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether services with too little capacity serve urgent requests first and organisations in equal shares; acts where the platform names organisations or routes of several priorities."},
	{Name: "fair-engine-shares", Type: Flag, Kinds: inGateway, Default: "no", Doc: "Whether fair-shares acts on services of engines too. In bursts it refuses prompts that engines would have served in time."},
	{Name: "service-time-prediction", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether the costs of requests to plain services and the speeds of their endpoints are learned; otherwise each request is assumed to take 30 ms."},
	{Name: "refuse-late-calls", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether requests to plain services are refused at once if waiting is predicted to make them late."},
	{Name: "slow-is-not-dead", Type: Flag, Kinds: inGateway, Default: "yes", Doc: "Whether attempts at plain endpoints may take as long as is usual for them, and an endpoint that answers others does not count as silent."},
}

// DefaultGateway returns the default settings.
func DefaultGateway() *Gateway {
	g, err := ParseGateway("", nil)
	if err != nil {
		panic(err) // unreachable: the defaults are constants, and a test parses them
	}
	return g
}

// ParseGateway parses and validates a gateway file. The error is *InvalidError.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	d := parseDocument(file, text)
	checkSections(d, gatewayKinds)
	if err := d.invalid(); err != nil {
		return nil, err
	}
	g := &Gateway{}
	fillStruct(d, GatewayKind, d.chain(Section{Kind: GatewayKind}), reflect.ValueOf(g).Elem())
	return g, nil
}

// LoadGateway reads, parses and validates a gateway file. The error is *ReadError or *InvalidError.
func LoadGateway(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	return ParseGateway(file, text)
}
