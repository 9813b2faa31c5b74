package metrics

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// page closes the metrics, which reports the remaining values, and returns the body of
// /metrics.
func page(t *testing.T, m *Metrics) string {
	t.Helper()
	assert.NilError(t, m.Close())
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", Path, nil))
	return recorder.Body.String()
}

func TestEntryMetricsOnThePage(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	e := m.Entry()
	e.Request(Request{Workspace: "audits", Class: "interactive", Outcome: Answered, Queued: 3 * time.Millisecond, FirstToken: 40 * time.Millisecond, Whole: time.Second, Tokens: 12})
	e.Request(Request{Workspace: "audits", Outcome: "overloaded", Ran: "no", Queued: time.Second})
	e.Attempt("whole")
	e.Claim(2 * time.Millisecond)
	e.Sample(EntrySample{Open: 4, Lease: 2 * time.Second, ConfigRevision: 9})
	text := page(t, m)
	for _, want := range []string{
		`citronstep_requests_total{class="interactive",outcome="answered",ran="none",workspace="audits"} 1`,
		`citronstep_requests_total{class="none",outcome="overloaded",ran="no",workspace="audits"} 1`,
		`citronstep_queue_seconds_bucket{class="interactive",le="0.005"} 1`,
		`citronstep_queue_seconds_sum{class="interactive"} 0.003`,
		`citronstep_first_token_seconds_count{class="interactive"} 1`,
		`citronstep_tokens_total{class="interactive"} 12`,
		`citronstep_config_lease_seconds 2`,
		`# HELP citronstep_open_requests Requests open on this entry.`,
	} {
		assert.Assert(t, is.Contains(text, want))
	}
}

// A group loses a member and serves again after 90 seconds. The gauges show nothing of it
// afterwards, so the histogram must contain the outage with its duration.
func TestOutageIsRecordedWhenItEnds(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	c := m.Control()
	config := blackboard.Configuration{Groups: map[string]blackboard.GroupSpec{"memos": {Name: "memos", Replicas: 2}}}
	group := func(id string, state blackboard.GroupState, vm string) blackboard.Group {
		return blackboard.Group{ID: id, Spec: "memos", State: state, Members: []blackboard.GroupMember{{VM: vm}}}
	}
	vms := []blackboard.VM{{ID: "a", Liveness: blackboard.Alive}, {ID: "b", Liveness: blackboard.Alive}}
	start := time.Unix(1000, 0)
	healthy := adminapi.Status{VMs: vms, Groups: []blackboard.Group{group("memos-0", blackboard.Serving, "a"), group("memos-1", blackboard.Serving, "b")}}
	broken := adminapi.Status{VMs: vms, Groups: []blackboard.Group{group("memos-0", blackboard.Broken, "a"), group("memos-1", blackboard.Serving, "b")}}
	broken.Measures = adminapi.Measures{GroupsDown: 1, GroupDowntimeSeconds: 45, StrandedAccelerators: 4}

	c.Sample(healthy, config, true, start)
	c.Sample(broken, config, true, start.Add(time.Second))
	c.Sample(broken, config, true, start.Add(50*time.Second))
	c.Sample(healthy, config, true, start.Add(91*time.Second))
	text := page(t, m)
	for _, want := range []string{
		`citronstep_group_outage_seconds_sum{group="memos"} 90`,
		`citronstep_group_outage_seconds_count{group="memos"} 1`,
		`citronstep_stranded_seconds_sum 90`,
		`citronstep_group_downtime_milliseconds_total 45000`,
		`citronstep_groups{state="serving"} 2`,
		`citronstep_leading 1`,
	} {
		assert.Assert(t, is.Contains(text, want))
	}
}

// Guards against a pool whose layouts can't turn without loads and whose operator does not see it.
func TestVMsWithAFurtherModelAreCounted(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	m.Control().Sample(adminapi.Status{
		Groups: []blackboard.Group{{ID: "wide-0", Model: "wide"}},
		VMs: []blackboard.VM{
			{ID: "a", Group: "wide-0", Weights: []string{"narrow"}},
			{ID: "b", Group: "wide-0", Weights: []string{"wide"}},
			{ID: "c", Weights: []string{"narrow"}},
		},
	}, blackboard.Configuration{}, true, time.Unix(1000, 0))
	assert.Assert(t, is.Contains(page(t, m), "citronstep_vms_with_further_model 1"))
}

// A control process loses the leadership and regains it an hour later. It must discard the
// outages that it recorded before; otherwise it would count an outage of an hour.
func TestOutagesAreDiscardedWithLeadership(t *testing.T) {
	var o outages
	config := blackboard.Configuration{Groups: map[string]blackboard.GroupSpec{"memos": {Replicas: 1}}}
	start := time.Unix(1000, 0)
	assert.Equal(t, len(o.update(adminapi.Status{}, config, start)), 0)
	o = outages{}
	serving := adminapi.Status{Groups: []blackboard.Group{{ID: "memos-0", Spec: "memos", State: blackboard.Serving}}}
	assert.Equal(t, len(o.update(serving, config, start.Add(time.Hour))), 0)
	assert.Equal(t, millisAdded(90, 5), int64(5000))
}

func TestNilMetricsRecordNothing(_ *testing.T) {
	var e *Entry
	e.Request(Request{})
	e.Attempt("whole")
	e.Claim(0)
	e.RecordWrite("answer", RecordWritten, 0)
	e.BackoffRequested()
	e.ServerLeaving()
	e.ServerSetAside()
	e.AttemptWithheld("backoff")
	e.Sample(EntrySample{})
	var c *Control
	c.Sample(adminapi.Status{}, blackboard.Configuration{}, true, time.Time{})
}

// The page for operators must contain each metric that a process reports, with its type and
// tags, and no other.
func TestMetricsPageListsEachMetric(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/metrics.md")
	assert.NilError(t, err)
	text := string(data)
	for _, d := range Definitions() {
		heading := "### `" + d.Name + "`\n\n" + string(d.Kind)
		if len(d.Tags) > 0 {
			heading += " by `" + strings.Join(d.Tags, "`, `") + "`"
		}
		assert.Assert(t, is.Contains(text, heading+". "+d.Help))
	}
	assert.Equal(t, strings.Count(text, "\n### `"), len(Definitions()))
}
