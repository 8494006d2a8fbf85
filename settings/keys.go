package settings

// Group is a group of keys with a title.
type Group struct {
	Title string
	Keys  []Key
}

// Groups holds every key of all settings texts, by subject.
var Groups = []Group{
	{"Process file", processKeys},
	{"Gateway file", gatewayKeys},
	{"Structure of the tree", structureKeys},
	{"Deadlines", deadlineKeys},
	{"Retries", retryKeys},
	{"Queues and sizes", admissionKeys},
	{"Spill-over to other zones", spillKeys},
	{"Ejection of failing endpoints", healthKeys},
	{"Roles of engines", roleKeys},
	{"Models served and loads", loadKeys},
	{"Organisations", organisationKeys},
	{"Models", modelKeys},
}

// Keys lists every key, in the order of Groups.
var Keys = allKeys()

func allKeys() []Key {
	var out []Key
	for _, g := range Groups {
		out = append(out, g.Keys...)
	}
	return out
}

// The kinds of section in which the inherited keys are allowed.
var (
	inPools     = []Kind{Defaults, RegionKind, ZoneKind, PoolKind}
	inServices  = []Kind{Defaults, RegionKind, ZoneKind, ServiceKind}
	inEndpoints = []Kind{Defaults, RegionKind, ZoneKind, PoolKind, EndpointKind}
	inBoth      = []Kind{Defaults, RegionKind, ZoneKind, PoolKind, ServiceKind}
	inProcess   = []Kind{ProcessKind, EntryKind, ControllerKind}
)

var processKeys = []Key{
	{Name: "vm", Type: Name, Kinds: inProcess, Required: true, Doc: "Name of this VM as the platform's membership list has it."},
	{Name: "zone", Type: Name, Kinds: inProcess, Required: true, Doc: "Availability zone of this VM."},
	{Name: "platform", Type: Address, Kinds: inProcess, Required: true, Doc: "Address of the platform: table service, object store, membership list and weight store."},
	{Name: "callers", Type: Address, Kinds: []Kind{EntryKind}, Default: "0.0.0.0:8080", Doc: "Address on which the entry takes callers' requests."},
	{Name: "peers", Type: Address, Kinds: inProcess, Default: "0.0.0.0:0", Doc: "Address on which the process takes calls of its peers; port 0 lets the kernel choose."},
	{Name: "advertise", Type: Address, Kinds: inProcess, Doc: "Address under which peers reach this process; unset means the one that peers is bound to."},
	{Name: "seeds", Type: Addresses, Kinds: inProcess, Doc: "Peer addresses of some entries of this zone, asked first when the platform is out of reach."},
	{Name: "operators", Type: Address, Kinds: []Kind{ControllerKind}, Default: "127.0.0.1:8090", Doc: "Address on which the controller takes operators' commands."},
	{Name: "metrics", Type: Address, Kinds: inProcess, Default: "127.0.0.1:0", Doc: "Address of /metrics and of the health and drain pages for the balancer."},
	{Name: "log-level", Type: Integer, Kinds: inProcess, Default: "0", Min: "0", Max: "5", Doc: "Verbosity of the log; 0 logs changes and failures, 4 logs each request."},
	{Name: "stop-grace", Type: Duration, Kinds: inProcess, Default: "10m", Min: "0s", Max: "1h", Doc: "Time that a planned stop lets open streams and calls finish."},
	{Name: "balancer-delay", Type: Duration, Kinds: []Kind{EntryKind}, Default: "3s", Min: "0s", Max: "1m", Doc: "Time between failing the health check and refusing new requests at a planned stop."},
}

var structureKeys = []Key{
	{Name: "region", Type: Name, Kinds: []Kind{ZoneKind}, NotInherited: true, References: RegionKind, Doc: "Region whose settings the zone inherits."},
	{Name: "parent", Type: Name, Kinds: []Kind{PoolKind}, NotInherited: true, References: PoolKind, Doc: "Pool whose settings this one inherits."},
	{Name: "parent", Type: Name, Kinds: []Kind{ServiceKind}, NotInherited: true, References: ServiceKind, Doc: "Service whose settings this one inherits."},
	{Name: "parent", Type: Name, Kinds: []Kind{OrgKind}, NotInherited: true, References: OrgKind, Doc: "Organisation whose settings this one inherits."},
	{Name: "pool", Type: Name, Kinds: []Kind{EndpointKind}, NotInherited: true, References: PoolKind, Doc: "Pool of which the endpoint is an engine."},
	{Name: "service", Type: Name, Kinds: []Kind{EndpointKind}, NotInherited: true, References: ServiceKind, Doc: "Service that the endpoint provides; exactly one of pool and service is set."},
	{Name: "zone", Type: Name, Kinds: []Kind{EndpointKind}, NotInherited: true, Required: true, References: ZoneKind, Doc: "Availability zone of the endpoint."},
	{Name: "address", Type: Address, Kinds: []Kind{EndpointKind}, NotInherited: true, Required: true, Doc: "Address of the endpoint."},
	{Name: "vm", Type: Name, Kinds: []Kind{EndpointKind}, NotInherited: true, Doc: "Name of the endpoint's VM on the membership list; unset means the endpoint's own name."},
	{Name: "drain", Type: Flag, Kinds: []Kind{EndpointKind}, NotInherited: true, Default: "no", Doc: "Whether the endpoint gets no new work and lets running work finish."},
	{Name: "withdrawn", Type: Flag, Kinds: []Kind{EndpointKind}, NotInherited: true, Default: "no", Doc: "Whether the endpoint leaves for good; it drains and may then be removed from the tree."},
	{Name: "replace-by", Type: Name, Kinds: []Kind{EndpointKind}, NotInherited: true, References: EndpointKind, Doc: "Endpoint that takes this one's place: it takes over role and models before this one drains."},
	{Name: "fencing", Type: Choice, Choices: []string{"checked", "ignored"}, Kinds: inEndpoints, Default: "ignored", Doc: "Whether the engine refuses orders with an old fencing number."},
	{Name: "repeatable", Type: Flag, Kinds: []Kind{ServiceKind}, AllZones: true, Default: "no", Doc: "Whether a call may run more than once, so that it is retried without a claim."},
	{Name: "claim-retention", Type: Duration, Kinds: inServices, Default: "24h", Min: "10m", Max: "720h", Doc: "Time for which the answer of a call that may not be repeated is kept for its key."},
}

var deadlineKeys = []Key{
	{Name: "deadline-interactive", Type: Duration, Kinds: inBoth, Default: "30s", Min: "100ms", Max: "1h", Doc: "Deadline of an interactive request that names none."},
	{Name: "deadline-standard", Type: Duration, Kinds: inBoth, Default: "2m", Min: "100ms", Max: "1h", Doc: "Deadline of a standard request that names none."},
	{Name: "deadline-batch", Type: Duration, Kinds: inBoth, Default: "10m", Min: "100ms", Max: "24h", Doc: "Deadline of a batch request that names none."},
	{Name: "deadline-limit", Type: Duration, Kinds: inBoth, Default: "30m", Min: "1s", Max: "24h", Doc: "Longest deadline that a caller may ask for; a longer one is cut to it."},
}

var retryKeys = []Key{
	{Name: "retry-budget", Type: Percent, Kinds: inBoth, Default: "10%", Min: "0%", Max: "100%", Doc: "Retries allowed as a share of first attempts."},
	{Name: "retry-floor", Type: Rate, Kinds: inBoth, Default: "0.5/s", Min: "0/s", Max: "1000/s", Doc: "Retries allowed on each entry whatever the share is."},
	{Name: "retry-burst", Type: Integer, Kinds: inBoth, Default: "10", Min: "1", Max: "10000", Unit: "retries", Doc: "Retries that an unspent budget saves up on each entry."},
	{Name: "retry-attempts", Type: Integer, Kinds: inBoth, Default: "3", Min: "1", Max: "10", Unit: "attempts", Doc: "Most attempts at one request, the first included."},
	{Name: "retry-backoff", Type: Duration, Kinds: inBoth, Default: "20ms", Min: "1ms", Max: "10s", Doc: "Longest wait before the first retry; doubles with each further one."},
	{Name: "retry-backoff-limit", Type: Duration, Kinds: inBoth, Default: "1s", Min: "1ms", Max: "1m", Doc: "Longest wait before any retry."},
}

var admissionKeys = []Key{
	{Name: "queue-limit", Type: Integer, Kinds: inBoth, Default: "512", Min: "1", Max: "100000", Unit: "requests", Doc: "Requests that may wait on one entry."},
	{Name: "queue-organisation-limit", Type: Integer, Kinds: inBoth, Default: "128", Min: "1", Max: "100000", Unit: "requests", Doc: "Requests of one organisation that may wait on one entry."},
	{Name: "queue-time-limit", Type: Duration, Kinds: inBoth, Default: "10s", Min: "0s", Max: "10m", Doc: "Longest wait of a request without a deadline."},
	{Name: "share-interactive", Type: Number, Kinds: inBoth, Default: "16", Min: "0.01", Max: "1000", Doc: "Share of interactive requests where several classes wait."},
	{Name: "share-standard", Type: Number, Kinds: inBoth, Default: "4", Min: "0.01", Max: "1000", Doc: "Share of standard requests where several classes wait."},
	{Name: "share-batch", Type: Number, Kinds: inBoth, Default: "1", Min: "0.01", Max: "1000", Doc: "Share of batch requests where several classes wait."},
	{Name: "body-limit", Type: Size, Kinds: inBoth, Default: "4MiB", Min: "1KiB", Max: "64MiB", Doc: "Largest request body."},
	{Name: "prompt-limit", Type: Integer, Kinds: inPools, Default: "1000000", Min: "1", Max: "100000000", Unit: "tokens", Doc: "Longest prompt, at four bytes a token; a longer one is refused."},
	{Name: "output-limit", Type: Integer, Kinds: inPools, Default: "1024", Min: "1", Max: "1000000", Unit: "tokens", Doc: "Longest answer; a request for more, or for no certain length, is cut to it."},
}

var spillKeys = []Key{
	{Name: "spill", Type: Flag, Kinds: inPools, Default: "yes", Doc: "Whether requests may go to another zone when this one cannot make their deadline."},
	{Name: "spill-margin", Type: Duration, Kinds: inPools, Default: "200ms", Min: "0s", Max: "1m", Doc: "How much earlier than here an answer must be expected in another zone for a request to go there."},
	{Name: "spill-age-limit", Type: Duration, Kinds: inPools, Default: "3s", Min: "500ms", Max: "1m", Doc: "Age beyond which what another zone said of its room is not believed."},
}

var healthKeys = []Key{
	{Name: "eject-failures", Type: Integer, Kinds: inBoth, Default: "5", Min: "1", Max: "1000", Unit: "failures", Doc: "Failures in a row that eject an endpoint."},
	{Name: "eject-silent", Type: Integer, Kinds: inBoth, Default: "2", Min: "1", Max: "1000", Unit: "requests", Doc: "Requests in a row without any answer that eject an endpoint."},
	{Name: "eject-failure-rate", Type: Percent, Kinds: inBoth, Default: "30%", Min: "1%", Max: "100%", Doc: "Share of failures below which no endpoint is ejected for doing worse than its peers."},
	{Name: "eject-time", Type: Duration, Kinds: inBoth, Default: "2s", Min: "100ms", Max: "10m", Doc: "First time for which an endpoint is ejected; doubles at each relapse."},
	{Name: "eject-time-limit", Type: Duration, Kinds: inBoth, Default: "1m", Min: "1s", Max: "1h", Doc: "Longest time for which an endpoint is ejected."},
	{Name: "eject-share", Type: Percent, Kinds: inBoth, Default: "34%", Min: "0%", Max: "100%", Doc: "Most endpoints of one pool or service in a zone that may be ejected at once; never the last."},
	{Name: "first-token-timeout", Type: Duration, Kinds: inPools, Default: "30s", Min: "100ms", Max: "10m", Doc: "Time without a first token after which an attempt is given up."},
	{Name: "between-tokens-timeout", Type: Duration, Kinds: inPools, Default: "10s", Min: "100ms", Max: "5m", Doc: "Silence within a stream after which an attempt is given up."},
}

var roleKeys = []Key{
	{Name: "role-planning", Type: Flag, Kinds: inPools, Default: "yes", Doc: "Whether the planner may change the roles of engines."},
	{Name: "goodput-weight", Type: Number, Kinds: inPools, Default: "1", Min: "0", Max: "1000", Doc: "Weight of goodput in planning roles."},
	{Name: "change-weight", Type: Number, Kinds: inPools, Default: "1", Min: "0", Max: "1000", Doc: "What one role change must be worth, in seconds of the pool's full goodput."},
	{Name: "minimum-stay", Type: Duration, Kinds: inPools, Default: "30s", Min: "1s", Max: "24h", Doc: "Time for which an engine keeps a role."},
	{Name: "change-budget", Type: Rate, Kinds: inPools, Default: "2/m", Min: "1/h", Max: "10/s", Doc: "Role changes of the pool in one zone."},
	{Name: "change-burst", Type: Integer, Kinds: inPools, Default: "2", Min: "1", Max: "1000", Unit: "changes", Doc: "Role changes that an unspent budget saves up."},
	{Name: "max-away", Type: Integer, Kinds: inPools, Default: "1", Min: "1", Max: "1000", Unit: "engines", Doc: "Engines of the pool in one zone that planned changes may take away at once."},
	{Name: "floor", Type: Integer, Kinds: inPools, Default: "1", Min: "0", Max: "10000", Unit: "engines", Doc: "Engines of the pool in one zone that planned changes leave serving."},
	{Name: "floor-prefill", Type: Integer, Kinds: inPools, Default: "1", Min: "0", Max: "10000", Unit: "engines", Doc: "Engines of the pool in one zone that can prefill (prefill or mixed)."},
	{Name: "floor-decode", Type: Integer, Kinds: inPools, Default: "2", Min: "0", Max: "10000", Unit: "engines", Doc: "Engines of the pool in one zone that can decode (decode or mixed)."},
	{Name: "report-age-limit", Type: Duration, Kinds: inPools, Default: "5s", Min: "500ms", Max: "5m", Doc: "Age beyond which a load report is no ground for a role change."},
	{Name: "change-time", Type: Duration, Kinds: inPools, Default: "8s", Min: "0s", Max: "10m", Doc: "Time for which a role change takes an engine away."},
	{Name: "prefill-rate", Type: Rate, Kinds: inPools, Default: "8000/s", Min: "1/s", Max: "10000000/s", Doc: "Prompt tokens that one engine of the pool prefills."},
	{Name: "decode-step", Type: Duration, Kinds: inPools, Default: "18ms", Min: "100us", Max: "10s", Doc: "Time of one decode step of an engine with an empty batch."},
	{Name: "decode-step-sequence", Type: Duration, Kinds: inPools, Default: "150us", Min: "0us", Max: "1s", Doc: "Time that each running sequence adds to a decode step."},
	{Name: "batch-limit", Type: Integer, Kinds: inPools, Default: "64", Min: "1", Max: "100000", Unit: "sequences", Doc: "Sequences that one engine runs at once."},
}

var loadKeys = []Key{
	{Name: "models", Type: Names, Kinds: inPools, References: ModelKind, Doc: "Models that the pool serves, the most wanted first."},
	{Name: "fetch-budget", Type: SizeRate, Kinds: []Kind{Defaults}, Default: "200MiB/s", Min: "1MiB/s", Max: "1000GiB/s", Doc: "Rate of fetches from the weight store, for all zones together."},
	{Name: "fetch-concurrent", Type: Integer, Kinds: []Kind{Defaults}, Default: "4", Min: "1", Max: "10000", Unit: "fetches", Doc: "Fetches from the weight store at once, for all zones together."},
}

var organisationKeys = []Key{
	{Name: "key-hashes", Type: Digests, Kinds: []Kind{OrgKind}, NotInherited: true, Doc: "SHA-256 sums of the organisation's API keys."},
	{Name: "priority", Type: Choice, Choices: []string{"interactive", "standard", "batch"}, Kinds: []Kind{Defaults, OrgKind}, Default: "standard", Doc: "Priority class of a request that names none."},
	{Name: "priority-limit", Type: Choice, Choices: []string{"interactive", "standard", "batch"}, Kinds: []Kind{Defaults, OrgKind}, Default: "interactive", Doc: "Most urgent priority class that the organisation's requests may name; a more urgent one is refused."},
	{Name: "models", Type: Names, Kinds: []Kind{OrgKind}, References: ModelKind, Doc: "Models that the organisation may use, with their adapters; unset means all."},
	{Name: "services", Type: Names, Kinds: []Kind{OrgKind}, References: ServiceKind, Doc: "Services that the organisation may call; unset means all."},
	{Name: "weight", Type: Number, Kinds: []Kind{Defaults, OrgKind}, Default: "1", Min: "0.01", Max: "1000", Doc: "Share of the organisation where several wait."},
	{Name: "token-rate", Type: Rate, Kinds: []Kind{Defaults, OrgKind}, Default: "50000/s", Min: "0/s", Max: "100000000/s", Doc: "Tokens of the organisation over all entries, prompt and weighted answer; 0/s means no limit."},
	{Name: "concurrency", Type: Integer, Kinds: []Kind{Defaults, OrgKind}, Default: "64", Min: "1", Max: "1000000", Unit: "requests", Doc: "Requests of the organisation in flight over all entries."},
}

var modelKeys = []Key{
	{Name: "version", Type: Version, Kinds: []Kind{ModelKind}, NotInherited: true, Required: true, Doc: "Version of the weights to serve."},
	{Name: "adapters", Type: Versions, Kinds: []Kind{ModelKind}, NotInherited: true, Doc: "Adapters to serve on the model, each with its version, such as permits@4."},
	{Name: "copies", Type: Integer, Kinds: []Kind{ModelKind}, NotInherited: true, Default: "1", Min: "1", Max: "10000", Unit: "engines", Doc: "Engines of each pool and zone that should hold the model."},
}
