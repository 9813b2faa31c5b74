package metrics

// Kind is the type of a metric.
type Kind string

// The kinds.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition describes one metric as /metrics and docs/operators/metrics.md show it. Times are
// in seconds, except that counters of time count whole milliseconds.
type Definition struct {
	Name    string
	Kind    Kind
	Tags    []string
	Help    string
	Buckets []float64
}

// Buckets of the histograms, in seconds. Each range starts below the values of a healthy system
// and ends at the deadline after which nothing waits any longer. Each bound is about twice the
// one before it.
var (
	// requestBuckets: 1 ms to two minutes, which is above the default deadline of 60 s.
	requestBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20, 30, 60, 120}
	// ratioBuckets: a quarter of an estimate to sixteen times as much.
	ratioBuckets = []float64{.25, .5, .7, .8, .9, 1, 1.1, 1.25, 1.5, 2, 4, 8, 16}
	// commitBuckets: 0.5 ms, a synced write on a nearby disk, to 10 s, which is longer than an
	// election.
	commitBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}
	// outageBuckets: half a second, when a free VM replaces a group at once, to eight hours,
	// when a group breaks in the evening and is noticed in the morning.
	outageBuckets = []float64{.5, 1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 14400, 28800}
)

const prefix = "citronstep_"

// The names of all metrics.
const (
	nameRequests    = prefix + "requests_total"
	nameRequestTime = prefix + "request_seconds"
	nameFirstToken  = prefix + "first_token_seconds"
	nameQueued      = prefix + "queue_seconds"
	nameTokens      = prefix + "tokens_total"
	nameAttempts    = prefix + "attempts_total"
	nameAnswersCut  = prefix + "answers_cut_total"
	nameRateLimited = prefix + "rate_limited_servers"

	nameRateLimitedAttempts = prefix + "rate_limited_attempts_total"

	nameBackedOff        = prefix + "backed_off_servers"
	nameDialTime         = prefix + "backend_dial_seconds"
	nameRelayedServers   = prefix + "relayed_servers"
	nameRelayedAttempts  = prefix + "relayed_attempts_total"
	nameRelays           = prefix + "relays_total"
	nameOpenRelays       = prefix + "open_relays"
	namePathChecks       = prefix + "path_checks_total"
	nameConnections      = prefix + "caller_connections_total"
	nameConnectionLimit  = prefix + "caller_connection_limit"
	nameConnectionsInUse = prefix + "caller_connections_in_use"
	nameSchedulingDelay  = prefix + "scheduling_delay_seconds"
	nameAttemptsCut      = prefix + "cut_attempts_total"
	nameCrashChecks      = prefix + "crash_checks_total"
	nameSuspectWrites    = prefix + "suspect_writes_total"
	nameSuspects         = prefix + "suspect_requests"
	nameAttributed       = prefix + "refused_crashing_requests"
	nameSuspectParts     = prefix + "suspect_prompt_parts"
	nameAttributedParts  = prefix + "refused_crashing_prompt_parts"
	nameBackoffRequests  = prefix + "backoff_requests_total"
	nameServersSetAside  = prefix + "servers_set_aside_total"
	nameServersLeaving   = prefix + "servers_leaving_total"
	nameAttemptsWithheld = prefix + "attempts_withheld_total"

	nameCoordinatorDecisions = prefix + "coordinator_decisions_total"
	nameCoordinatorFallbacks = prefix + "coordinator_fallbacks_total"
	nameSharedWaiting        = prefix + "coordinator_waiting_requests"
	nameGrants               = prefix + "coordinator_grants"
	nameFirstEventRatio      = prefix + "first_event_ratio"
	nameRequestLimit         = prefix + "group_request_limit"
	nameDemandReports        = prefix + "demand_reports_total"

	nameClaimTime      = prefix + "claim_seconds"
	nameRecordWrites   = prefix + "record_writes_total"
	nameRecordTime     = prefix + "record_seconds"
	nameOpen           = prefix + "open_requests"
	nameWaiting        = prefix + "waiting_requests"
	nameRoutes         = prefix + "routable_targets"
	nameLease          = prefix + "config_lease_seconds"
	nameConfigRevision = prefix + "config_revision"

	nameLeading        = prefix + "leading"
	nameVoters         = prefix + "voters"
	nameVotersMissing  = prefix + "voters_missing"
	nameEntriesBehind  = prefix + "entries_behind"
	nameGroups         = prefix + "groups"
	nameGroupsDown     = prefix + "groups_down"
	nameVMs            = prefix + "vms"
	nameFurtherModel   = prefix + "vms_with_further_model"
	nameStranded       = prefix + "stranded_accelerators"
	nameDowntime       = prefix + "group_downtime_milliseconds_total"
	nameStrandedTime   = prefix + "stranded_accelerator_milliseconds_total"
	nameDemandRate     = prefix + "demand_requests_per_second"
	nameDemandLate     = prefix + "demand_late_fraction"
	nameDemandRefused  = prefix + "demand_refused_fraction"
	nameOutage         = prefix + "group_outage_seconds"
	nameStrandedOutage = prefix + "stranded_seconds"

	nameInvariants     = prefix + "invariant_violations_total"
	nameHeaderMemory   = prefix + "request_header_bytes"
	nameHeadersRefused = prefix + "request_headers_refused_total"

	nameAnswerHeaderMemory   = prefix + "answer_header_bytes"
	nameAnswerHeadersRefused = prefix + "answer_headers_refused_total"

	nameBodyMemory     = prefix + "request_body_bytes"
	nameBodiesRefused  = prefix + "request_bodies_refused_total"
	nameListenerOpen   = prefix + "listener_connections"
	nameListenerClosed = prefix + "listener_connections_closed_total"
)

// Definitions returns all metrics, beginning with the entry role's.
func Definitions() []Definition {
	return append(append(entryDefinitions(), controlDefinitions()...), processDefinitions()...)
}

// processDefinitions returns the metrics of each process, whatever its roles.
func processDefinitions() []Definition {
	return []Definition{
		{nameInvariants, KindCounter, nil, "Invariants found broken in this process; the step was refused.", nil},
		{nameHeaderMemory, KindGauge, nil, "Memory reserved for the headers of requests that are read or served, in bytes.", nil},
		{nameHeadersRefused, KindCounter, nil, "Requests refused because the memory for headers was used up.", nil},
		{nameAnswerHeaderMemory, KindGauge, nil, "Memory reserved for the headers of backend servers' answers that are read or passed on, in bytes.", nil},
		{nameAnswerHeadersRefused, KindCounter, nil, "Answers of backend servers that were dropped because the memory for their headers was used up.", nil},
		{nameBodyMemory, KindGauge, nil, "Memory reserved for bodies of requests that are not callers', in bytes.", nil},
		{nameBodiesRefused, KindCounter, nil, "Requests of others than callers refused because the memory for bodies was used up.", nil},
		{nameListenerOpen, KindGauge, []string{"listener"}, "Open connections of listeners other than that for callers.", nil},
		{nameListenerClosed, KindCounter, []string{"reason"}, "Connections of these listeners that were closed at their limit.", nil},
	}
}

func entryDefinitions() []Definition {
	return []Definition{
		{nameRequests, KindCounter, []string{"workspace", "class", "outcome", "ran"}, "Requests answered, by final outcome and by what a refusal says of the request having run.", nil},
		{nameRequestTime, KindHistogram, []string{"class"}, "Time from arrival to the end of a whole answer.", requestBuckets},
		{nameFirstToken, KindHistogram, []string{"class"}, "Time from arrival to the first token of a whole answer.", requestBuckets},
		{nameQueued, KindHistogram, []string{"class"}, "Time that a request waited for room before its first attempt, or before it was refused.", requestBuckets},
		{nameTokens, KindCounter, []string{"class"}, "Tokens of whole answers.", nil},
		{nameAttempts, KindCounter, []string{"outcome"}, "Attempts on backend servers by how they ended.", nil},
		{nameAnswersCut, KindCounter, []string{"cause"}, "Answers that had begun and that their callers did not receive to their end, by cause.", nil},
		{nameRateLimited, KindGauge, nil, "Backend servers that name a rate limit, as this entry knows.", nil},
		{nameRateLimitedAttempts, KindCounter, nil, "Attempts of this entry on backend servers that name a rate limit.", nil},
		{nameDialTime, KindHistogram, []string{"outcome"}, "Time of connecting to a backend server, by whether it connected, was refused, timed out or failed.", commitBuckets},
		{nameRelayedServers, KindGauge, nil, "Backend servers that this entry reaches through other entries alone.", nil},
		{nameRelayedAttempts, KindCounter, nil, "Attempts of this entry that another entry relayed.", nil},
		{nameRelays, KindCounter, []string{"outcome"}, "Requests of other entries for a relay through this one, by how they ended.", nil},
		{nameOpenRelays, KindGauge, nil, "Connections that this entry relays for others now.", nil},
		{nameConnections, KindCounter, []string{"outcome"}, "New connections of callers that were accepted, or closed unread for lack of processor time.", nil},
		{nameConnectionLimit, KindGauge, nil, "Connections of callers in use up to which new ones are accepted; 0 for no limit.", nil},
		{nameConnectionsInUse, KindGauge, nil, "Connections of callers that carry a request, or are about to.", nil},
		{nameSchedulingDelay, KindGauge, nil, "Longest time of late, over a tenth of a second, that nine in ten goroutines waited for a processor at most.", nil},
		{namePathChecks, KindCounter, []string{"state"}, "Checks whether a backend server can be reached, by what they found.", nil},
		{nameAttemptsCut, KindCounter, nil, "Attempts that may have run and whose backend server closed the connection before their end.", nil},
		{nameCrashChecks, KindCounter, []string{"verdict"}, "Checks whether a backend server that closed a connection early has crashed, by verdict.", nil},
		{nameSuspectWrites, KindCounter, []string{"outcome"}, "Crashes and answers of suspects written to the board, by whether the leader took them.", nil},
		{nameSuspects, KindGauge, nil, "Requests on the board that were running when a backend server crashed.", nil},
		{nameAttributed, KindGauge, nil, "Requests on the board that are refused because they crash backend servers.", nil},
		{nameSuspectParts, KindGauge, nil, "Parts of prompts on the board that were running when a backend server crashed.", nil},
		{nameAttributedParts, KindGauge, nil, "Parts of prompts on the board whose requests are refused because they crash backend servers.", nil},
		{nameBackedOff, KindGauge, nil, "Backend servers that have asked this entry for no request for a time that has not passed.", nil},
		{nameBackoffRequests, KindCounter, nil, "Answers in which a backend server asked this entry for no request for a time.", nil},
		{nameServersSetAside, KindCounter, nil, "Times that this entry has set a backend server aside whose answers it could not read.", nil},
		{nameServersLeaving, KindCounter, nil, "Backend servers that have stated in an answer to this entry that they are leaving.", nil},
		{nameAttemptsWithheld, KindCounter, []string{"reason"}, "Attempts that were not sent after their backend server was chosen, by reason.", nil},
		{nameCoordinatorDecisions, KindCounter, []string{"outcome"}, "Decisions of this entry for requests of all entries that waited in a shared queue.", nil},
		{nameCoordinatorFallbacks, KindCounter, []string{"cause"}, "Requests that this entry decided itself although their model was short of room.", nil},
		{nameSharedWaiting, KindGauge, nil, "Requests of all entries that wait in the shared queues of this entry.", nil},
		{nameGrants, KindGauge, nil, "Grants of this entry's shared queues that have not ended.", nil},
		{nameFirstEventRatio, KindHistogram, []string{"model"}, "Time from the send of a request to its first event, as a multiple of the time that was predicted when it was sent.", ratioBuckets},
		{nameRequestLimit, KindGauge, []string{"model"}, "Requests that a serving group may hold so that one more begins within the shortest objective in use; 0 where limits are in tokens.", nil},
		{nameDemandReports, KindCounter, []string{"outcome"}, "Reports of observed demand to the leader, by whether the leader took them.", nil},
		{nameClaimTime, KindHistogram, nil, "Time of writing an at-most-once claim on a majority of the control processes.", commitBuckets},
		{nameRecordWrites, KindCounter, []string{"kind", "outcome"}, "Writes about claims after their runs: of an answer, of an unknown outcome, of a withdrawal.", nil},
		{nameRecordTime, KindHistogram, []string{"kind"}, "Time from the end of a claimed request's run until a majority of the control processes holds what is written.", commitBuckets},
		{nameOpen, KindGauge, nil, "Requests open on this entry.", nil},
		{nameWaiting, KindGauge, nil, "Requests waiting for room on this entry.", nil},
		{nameRoutes, KindGauge, nil, "Serving groups and service instances that this entry may send work to.", nil},
		{nameLease, KindGauge, nil, "What is left of this process's configuration lease; at 0 the entry admits nothing.", nil},
		{nameConfigRevision, KindGauge, nil, "Configuration revision that this process holds.", nil},
	}
}

func controlDefinitions() []Definition {
	return []Definition{
		{nameLeading, KindGauge, nil, "1 on the control process that leads, else 0.", nil},
		{nameVoters, KindGauge, nil, "Voting replicas of the control state, the leader included.", nil},
		{nameVotersMissing, KindGauge, nil, "Wanted voters of the control state that do not answer the leader.", nil},
		{nameEntriesBehind, KindGauge, nil, "Entries with a lease that do not hold the newest configuration.", nil},
		{nameGroups, KindGauge, []string{"state"}, "Serving groups by state.", nil},
		{nameGroupsDown, KindGauge, nil, "Wanted replicas that do not serve now.", nil},
		{nameVMs, KindGauge, []string{"liveness"}, "Backend server VMs by liveness.", nil},
		{nameFurtherModel, KindGauge, nil, "VMs of groups whose hosts hold the weights of another model than the group's.", nil},
		{nameStranded, KindGauge, nil, "Accelerators of live VMs that hold no working group now.", nil},
		{nameDowntime, KindCounter, nil, "Time of wanted replicas not serving, added up over replicas.", nil},
		{nameStrandedTime, KindCounter, nil, "Time of accelerators stranded, added up over accelerators.", nil},
		{nameOutage, KindHistogram, []string{"group"}, "How long a wanted replica did not serve, recorded when one serves again.", outageBuckets},
		{nameDemandRate, KindGauge, []string{"model"}, "First tries of callers a second for a model that is laid out by demand, smoothed.", nil},
		{nameDemandLate, KindGauge, []string{"model"}, "Part of these requests that got their first event after their objective.", nil},
		{nameDemandRefused, KindGauge, []string{"model"}, "Part of these requests that were refused or failed.", nil},
		{nameStrandedOutage, KindHistogram, nil, "How long a live VM was in no working group, recorded when it is in one again.", outageBuckets},
	}
}
