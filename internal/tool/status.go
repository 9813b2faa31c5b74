package tool

import (
	"flag"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// The roles of a control process that the tool distinguishes: the leader, and a learner, whose
// copy of the state does not count towards a majority yet.
const (
	roleLeader  = "leader"
	roleLearner = "learner"
)

func statusCommand() command {
	return command{
		name:    "status",
		summary: "Show the state of the whole system: preset, nodes, groups, VMs, measures",
		details: `Sections: summary, control processes, entries, groups, VMs, service instances.
Give -section to print one table only. Exits with 5 when no control process leads.

Example: citronstep status -section groups
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			section := set.String("section", "", "one of "+strings.Join(sectionNames(), ", "))
			return func(i *invocation) error { return i.showStatus(*section) }
		},
	}
}

// section is one part of the status.
type section struct {
	name string
	// value returns what -json prints, table what is printed for people.
	value func(adminapi.Status) any
	table func(adminapi.Status, time.Time) *table
}

func sections() []section {
	return []section{
		{"summary", summaryValue, summaryTable},
		{"control", func(s adminapi.Status) any { return s.Replicas }, replicaTable},
		{"entries", func(s adminapi.Status) any { return s.Entries }, entryTable},
		{"groups", func(s adminapi.Status) any { return s.Groups }, groupTable},
		{"vms", func(s adminapi.Status) any { return s.VMs }, vmTable},
		{"services", func(s adminapi.Status) any { return s.Services }, serviceTable},
	}
}

func sectionNames() []string {
	var names []string
	for _, s := range sections() {
		names = append(names, s.name)
	}
	return names
}

func (i *invocation) showStatus(only string) error {
	if err := i.requireArgs(0); err != nil {
		return err
	}
	if only != "" && !slices.Contains(sectionNames(), only) {
		return usagef("section %q: must be one of %s", only, strings.Join(sectionNames(), ", "))
	}
	s, err := i.status()
	if err != nil {
		return err
	}
	sortStatus(&s)
	if err := i.printStatus(s, only); err != nil {
		return err
	}
	return checkHasLeader(s)
}

// checkHasLeader returns an error when no process leads. A control process without a connection
// to the others answers with the last state that it received. That state looks healthy: its
// groups serve and its measures are zero. A script must not take it for the current state of
// the system.
func checkHasLeader(s adminapi.Status) error {
	if !s.Founded {
		return nil
	}
	for _, r := range s.Replicas {
		if r.Role == roleLeader {
			return nil
		}
	}
	return failure.New(failure.TypeUnavailable,
		"no control process leads, as far as this process knows: it shows the last state that it received. "+
			"Query the others with -addresses, see docs/operators/quorum-lost.md")
}

func (i *invocation) printStatus(s adminapi.Status, only string) error {
	if i.json && only == "" {
		return i.printJSON(s)
	}
	now := time.Now()
	for _, part := range sections() {
		switch {
		case only == "":
			i.printf("%s", strings.ToUpper(part.name))
			part.table(s, now).write(i.out)
			i.printf("")
		case only == part.name && i.json:
			return i.printJSON(part.value(s))
		case only == part.name:
			part.table(s, now).write(i.out)
		}
	}
	return nil
}

// summary is the JSON form of the summary section.
type summary struct {
	ClusterID      string            `json:"cluster_id"`
	Founded        bool              `json:"founded"`
	BoardRevision  uint64            `json:"board_revision"`
	ConfigRevision uint64            `json:"config_revision"`
	ActivePreset   string            `json:"active_preset"`
	Presets        []string          `json:"presets"`
	Voters         adminapi.Voters   `json:"voters"`
	Measures       adminapi.Measures `json:"measures"`
}

func summaryValue(s adminapi.Status) any {
	return summary{s.ClusterID, s.Founded, s.BoardRevision, s.ConfigRevision, s.ActivePreset, s.Presets, s.Voters, s.Measures}
}

func summaryTable(s adminapi.Status, _ time.Time) *table {
	t := newTable("WHAT", "VALUE")
	cluster := s.ClusterID
	if !s.Founded {
		cluster = "not founded: run citronstep init"
	}
	t.add("cluster", cluster)
	t.add("preset in force", s.ActivePreset)
	t.add("presets", strings.Join(s.Presets, ", "))
	t.add("configuration revision", decimal(s.ConfigRevision))
	t.add("board revision", decimal(s.BoardRevision))
	t.add("voters", votersText(s.Voters))
	t.add("groups down", strconv.Itoa(s.Measures.GroupsDown))
	t.add("group downtime", seconds(s.Measures.GroupDowntimeSeconds))
	t.add("stranded accelerators", strconv.Itoa(s.Measures.StrandedAccelerators))
	t.add("stranded accelerator time", seconds(s.Measures.StrandedAcceleratorSeconds))
	return t
}

// votersText tells how many voters answer and, if one is missing, since when and what is done.
func votersText(v adminapi.Voters) string {
	switch {
	case v.Wanted == 0:
		return "not known: the process that answers does not lead"
	case v.Answering >= v.Wanted:
		return fmt.Sprintf("%d of %d answer", v.Answering, v.Wanted)
	}
	missing := time.Duration(v.MissingMillis) * time.Millisecond
	return fmt.Sprintf("%d of %d answer, for %s; %s", v.Answering, v.Wanted, missing.Round(time.Second), v.Action)
}

// silentAfter is the silence from which on a control process is shown as silent. A sound one
// answers several times a second.
const silentAfter = time.Second

func replicaTable(s adminapi.Status, _ time.Time) *table {
	t := newTable("VM", "ROLE", "SILENT", "DATA CENTRE", "ADDRESS", "ID")
	for _, r := range s.Replicas {
		silent := "-"
		if d := time.Duration(r.SilentMillis) * time.Millisecond; d >= silentAfter {
			silent = d.Round(time.Second).String()
		}
		t.add(r.VM, r.Role, silent, r.DataCentre, r.Address, r.ID)
	}
	return t
}

func entryTable(s adminapi.Status, _ time.Time) *table {
	t := newTable("ENTRY", "DATA CENTRE", "ADDRESS", "REVISION", "LEASE")
	for _, e := range s.Entries {
		lease := "none"
		if e.LeaseMillis > 0 {
			lease = strconv.FormatInt(e.LeaseMillis, 10) + "ms"
		}
		t.add(e.ID, e.DataCentre, e.Address, decimal(e.ConfigRevision), lease)
	}
	return t
}

func groupTable(s adminapi.Status, now time.Time) *table {
	t := newTable("GROUP", "MODEL", "STATE", "EPOCH", "DOMAIN", "MEMBERS", "SINCE", "REASON")
	for _, g := range s.Groups {
		t.add(g.ID, g.Model, string(g.State), decimal(g.Epoch), g.FabricDomain, memberNames(g), age(now, g.SinceMillis), g.Reason)
	}
	return t
}

func vmTable(s adminapi.Status, now time.Time) *table {
	t := newTable("VM", "LIVENESS", "GROUP", "EPOCH", "DOMAIN", "DATA CENTRE", "ACCELERATORS", "ADDRESS", "SINCE")
	for _, v := range s.VMs {
		liveness := string(v.Liveness)
		if v.Leaving {
			liveness += ",leaving"
		}
		epoch := ""
		if v.Group != "" {
			epoch = decimal(v.Epoch)
		}
		t.add(v.ID, liveness, v.Group, epoch, v.FabricDomain, v.DataCentre, strconv.Itoa(v.Accelerators), v.Address, age(now, v.SinceMillis))
	}
	return t
}

func serviceTable(s adminapi.Status, _ time.Time) *table {
	t := newTable("INSTANCE", "SERVICE", "LIVENESS", "DATA CENTRE", "ADDRESS")
	for _, x := range s.Services {
		liveness := string(x.Liveness)
		if x.Leaving {
			liveness += ",leaving"
		}
		t.add(x.ID, x.Service, liveness, x.DataCentre, x.Address)
	}
	return t
}

// sortStatus sorts every list, so that two outputs can be compared.
func sortStatus(s *adminapi.Status) {
	sort.Strings(s.Presets)
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].VM < s.Replicas[j].VM })
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].ID < s.Entries[j].ID })
	sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].ID < s.Groups[j].ID })
	sort.Slice(s.VMs, func(i, j int) bool { return s.VMs[i].ID < s.VMs[j].ID })
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].ID < s.Services[j].ID })
}

func memberNames(g blackboard.Group) string {
	names := make([]string, len(g.Members))
	for i, m := range g.Members {
		names[i] = m.VM
	}
	return strings.Join(names, ",")
}

// age returns the time since a moment of the leader's clock, rounded to seconds; empty for an
// unknown moment.
func age(now time.Time, millis int64) string {
	if millis <= 0 {
		return ""
	}
	return max(0, now.Sub(time.UnixMilli(millis))).Round(time.Second).String()
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

func seconds(s float64) string { return fmt.Sprintf("%.1fs", s) }
