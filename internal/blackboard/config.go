package blackboard

import (
	"maps"
	"sort"

	"github.com/citronstep/citronstep/internal/failure"
)

// Configuration is the part of the board that operators set. Written by: the admin API, through
// ConfigChange and ReplaceConfiguration only. Read by: every entry and every controller.
type Configuration struct {
	// Revision grows by one with each accepted change and never decreases.
	Revision   uint64                  `json:"revision"`
	Workspaces map[string]Workspace    `json:"workspaces"`
	Classes    map[string]RequestClass `json:"classes"`
	Groups     map[string]GroupSpec    `json:"groups"`
	Presets    map[string]Preset       `json:"presets"`
	// ActivePreset names the preset in force. Because it is a single field, at most one preset
	// is in force. Once the first preset is set, exactly one is.
	ActivePreset string `json:"active_preset"`
	// DrainedVMs and DrainedGroups stay out of service until an operator undrains them.
	DrainedVMs    map[string]bool `json:"drained_vms"`
	DrainedGroups map[string]bool `json:"drained_groups"`
	// Version is the version of the last accepted ReplaceConfiguration. It is 0 if the
	// configuration has only been changed through ConfigChange.
	Version  uint64                 `json:"version,omitempty"`
	Routes   map[string]Route       `json:"routes,omitempty"`
	Services map[string]ServiceSpec `json:"services,omitempty"`
	Limits   CallerLimits           `json:"limits"`
	// Document is the configuration of Version as the operator sent it.
	Document []byte `json:"document,omitempty"`
}

// Workspace is a customer with its keys, limits and share.
type Workspace struct {
	Name string `json:"name" toml:"name"`
	// KeySHA256 is the hex SHA-256 of the workspace's key. The key itself is neither stored nor
	// logged.
	KeySHA256 string `json:"key_sha256" toml:"key_sha256"`
	// MoreKeysSHA256 are the hashes of further keys. During a key rotation both keys are valid,
	// so the workspace always has a valid key.
	MoreKeysSHA256 []string `json:"more_keys_sha256,omitempty" toml:"more_keys_sha256"`
	// Priority ranks the workspace; 0 is the highest priority. It takes precedence over the
	// priority of routes.
	Priority int `json:"priority,omitempty" toml:"priority"`
	// Homes are the regions whose backend servers may serve the workspace's requests; empty
	// means any region. If the route also has homes, a backend server must satisfy both lists.
	Homes []string `json:"homes,omitempty" toml:"homes"`
	// Share is the workspace's weight among workspaces of equal worth; 0 means 1.
	Share int `json:"share" toml:"share"`
	// MaxOpen bounds the workspace's open requests on one entry; 0 means the entry's own limit.
	MaxOpen int `json:"max_open" toml:"max_open"`
}

// RequestClass is a kind of request, such as interactive or batch.
type RequestClass struct {
	Name string `json:"name" toml:"name"`
	// Worth is the priority of requests of this class; higher comes first. A preset may override
	// it.
	Worth int `json:"worth" toml:"worth"`
	// TimeoutMillis is the timeout of a request that states none.
	TimeoutMillis int64 `json:"timeout_ms" toml:"timeout_ms"`
}

// GroupSpec requests Replicas serving groups of VMsPerReplica VMs each.
type GroupSpec struct {
	Name          string `json:"name" toml:"name"`
	Model         string `json:"model" toml:"model"`
	Replicas      int    `json:"replicas" toml:"replicas"`
	VMsPerReplica int    `json:"vms_per_replica" toml:"vms_per_replica"`
	// Accelerators is the number of accelerators that each member VM must have; 0 accepts any
	// number.
	Accelerators int `json:"accelerators" toml:"accelerators"`
	// Worth is the priority of the groups: groups of higher worth are repaired, loaded and kept
	// first.
	Worth int `json:"worth" toml:"worth"`
	// FabricDomain restricts the groups to one fabric domain; empty allows any.
	FabricDomain string `json:"fabric_domain,omitempty" toml:"fabric_domain"`
	// Pool names the engine pool whose VMs form the groups. The engines of a pool form a group
	// among themselves, and the group serves only after its head has been ordered to open. If
	// Pool is empty, any VM can be a member, and the engine serves as soon as the group is
	// loaded.
	Pool string `json:"pool,omitempty" toml:"pool"`
	// Share replaces Replicas if Pool is set: it is the fraction of the pool's VMs that the
	// groups of the spec should use.
	Share float64 `json:"share,omitempty" toml:"share"`
}

// keyHashes returns the hashes of all keys of the workspace.
func (w Workspace) keyHashes() []string {
	if w.KeySHA256 == "" {
		return w.MoreKeysSHA256
	}
	return append([]string{w.KeySHA256}, w.MoreKeysSHA256...)
}

// KeyHashes calls f with the hash of each key of the workspace.
func (w Workspace) KeyHashes(f func(hash string)) {
	for _, hash := range w.keyHashes() {
		f(hash)
	}
}

// Preset is a named set of priorities. One preset is in force at a time.
type Preset struct {
	Name string `json:"name" toml:"name"`
	// ClassWorth and WorkspaceWorth set or override the worth of classes and workspaces by name.
	ClassWorth     map[string]int `json:"class_worth,omitempty" toml:"class_worth"`
	WorkspaceWorth map[string]int `json:"workspace_worth,omitempty" toml:"workspace_worth"`
	// GroupWorth and GroupReplicas override values of a GroupSpec while the preset is in force.
	GroupWorth    map[string]int `json:"group_worth,omitempty" toml:"group_worth"`
	GroupReplicas map[string]int `json:"group_replicas,omitempty" toml:"group_replicas"`
	// DowntimeWeight and StrandedWeight weigh group downtime against stranded accelerators when
	// a repair has several options; 0 means 1.
	DowntimeWeight float64 `json:"downtime_weight,omitempty" toml:"downtime_weight"`
	StrandedWeight float64 `json:"stranded_weight,omitempty" toml:"stranded_weight"`
}

// ConfigChange is one change of the configuration by an operator. It applies completely or not
// at all.
type ConfigChange struct {
	// ChangeID makes the change idempotent: a resent change with the same ID receives the first
	// outcome again.
	ChangeID string `json:"change_id"`
	// Expect is the configuration revision that the change is based on.
	Expect   uint64 `json:"expect"`
	Operator string `json:"operator,omitempty"`

	Workspaces       []Workspace    `json:"workspaces,omitempty"`
	RemoveWorkspaces []string       `json:"remove_workspaces,omitempty"`
	Classes          []RequestClass `json:"classes,omitempty"`
	RemoveClasses    []string       `json:"remove_classes,omitempty"`
	Groups           []GroupSpec    `json:"groups,omitempty"`
	RemoveGroups     []string       `json:"remove_groups,omitempty"`
	Presets          []Preset       `json:"presets,omitempty"`
	RemovePresets    []string       `json:"remove_presets,omitempty"`
	UsePreset        string         `json:"use_preset,omitempty"`
	DrainVMs         []string       `json:"drain_vms,omitempty"`
	UndrainVMs       []string       `json:"undrain_vms,omitempty"`
	DrainGroups      []string       `json:"drain_groups,omitempty"`
	UndrainGroups    []string       `json:"undrain_groups,omitempty"`
}

// ChangeOutcome is the result of a ConfigChange. The board keeps it to answer resent changes.
type ChangeOutcome struct {
	Revision uint64         `json:"revision"`
	Failure  *failure.Error `json:"failure,omitempty"`
}

// maxRememberedChanges bounds the stored outcomes. At the target rate of 3,100 changes a day,
// the table covers more than a day of resent changes.
const maxRememberedChanges = 4096

// apply returns the stored outcome of a resent change. It refuses a change that expects another
// revision, and otherwise applies the change completely.
//
// Of two operators that send changes with the same expected revision, one succeeds: the log
// orders the changes, and the second receives a conflict.
func (c ConfigChange) apply(d *draft) (any, bool) {
	if c.ChangeID == "" {
		return ChangeOutcome{d.Config.Revision, failure.New(failure.TypeBadRequest, "change_id is missing")}, false
	}
	if old, ok := d.Changes[c.ChangeID]; ok {
		return old, false
	}
	outcome := c.applyToConfig(&d.Board)
	d.recordOutcome(c.ChangeID, outcome)
	return outcome, true
}

// applyToConfig applies the change to the board's configuration, or returns why it cannot.
func (c ConfigChange) applyToConfig(b *Board) ChangeOutcome {
	current := b.Config.Revision
	if c.Expect != current {
		e := failure.New(failure.TypeConflict, "the configuration has changed since the expected revision")
		e.Revision = current
		return ChangeOutcome{Revision: current, Failure: e}
	}
	next := b.Config.clone()
	c.edit(&next)
	if e := next.validate(); e != nil {
		return ChangeOutcome{Revision: current, Failure: e}
	}
	next.Revision = current + 1
	b.Config = next
	return ChangeOutcome{Revision: next.Revision}
}

// edit writes the additions and removals to a configuration without validating it.
func (c ConfigChange) edit(to *Configuration) {
	for _, w := range c.Workspaces {
		to.Workspaces[w.Name] = w
	}
	for _, r := range c.Classes {
		to.Classes[r.Name] = r
	}
	for _, g := range c.Groups {
		to.Groups[g.Name] = g
	}
	for _, p := range c.Presets {
		to.Presets[p.Name] = p
	}
	if c.UsePreset != "" {
		to.ActivePreset = c.UsePreset
	}
	removeAll(to.Workspaces, c.RemoveWorkspaces)
	removeAll(to.Classes, c.RemoveClasses)
	removeAll(to.Groups, c.RemoveGroups)
	removeAll(to.Presets, c.RemovePresets)
	setAll(to.DrainedVMs, c.DrainVMs)
	removeAll(to.DrainedVMs, c.UndrainVMs)
	setAll(to.DrainedGroups, c.DrainGroups)
	removeAll(to.DrainedGroups, c.UndrainGroups)
}

func removeAll[V any](m map[string]V, names []string) {
	for _, n := range names {
		delete(m, n)
	}
}

func setAll(m map[string]bool, names []string) {
	for _, n := range names {
		m[n] = true
	}
}

// validate returns an error for the first invalid value, and nil for a valid configuration.
func (c *Configuration) validate() *failure.Error {
	for _, name := range sortedKeys(c.Groups) {
		g := c.Groups[name]
		if name == "" || g.Model == "" || g.Replicas < 0 || g.VMsPerReplica < 1 {
			return failure.New(failure.TypeBadRequest,
				"a group needs a name, a model, replicas of 0 or more and vms_per_replica of 1 or more").WithDetail("groups." + name)
		}
	}
	for _, name := range sortedKeys(c.Workspaces) {
		if w := c.Workspaces[name]; name == "" || !w.hasValidKeys(c.Version > 0) || w.Share < 0 || w.MaxOpen < 0 {
			return failure.New(failure.TypeBadRequest,
				"a workspace needs a name, key_sha256 of 64 hex digits, and share and max_open of 0 or more").WithDetail("workspaces." + name)
		}
	}
	for _, name := range sortedKeys(c.Classes) {
		if r := c.Classes[name]; name == "" || r.TimeoutMillis < 0 {
			return failure.New(failure.TypeBadRequest,
				"a class needs a name and timeout_ms of 0 or more").WithDetail("classes." + name)
		}
	}
	for _, name := range sortedKeys(c.Services) {
		if e := c.Services[name].validate(); e != nil {
			return e
		}
	}
	for _, name := range sortedKeys(c.Routes) {
		if e := c.Routes[name].validate(c); e != nil {
			return e
		}
	}
	if _, ok := c.Presets[c.ActivePreset]; c.ActivePreset != "" && !ok {
		return failure.New(failure.TypeBadRequest, "the preset in force must exist").WithDetail("presets." + c.ActivePreset)
	}
	return nil
}

const sha256HexLength = 64

// hasValidKeys reports whether each key hash has the length of a hex SHA-256. allowNone permits
// a workspace without keys, which ReplaceConfiguration may contain.
func (w Workspace) hasValidKeys(allowNone bool) bool {
	hashes := w.keyHashes()
	for _, hash := range hashes {
		if len(hash) != sha256HexLength {
			return false
		}
	}
	return allowNone || w.KeySHA256 != ""
}

// ClassWorth returns the worth of a class under the preset in force.
func (c *Configuration) ClassWorth(class string) int {
	if w, ok := c.Presets[c.ActivePreset].ClassWorth[class]; ok {
		return w
	}
	return c.Classes[class].Worth
}

// GroupWorth returns the worth of a group spec under the preset in force.
func (c *Configuration) GroupWorth(group string) int {
	if w, ok := c.Presets[c.ActivePreset].GroupWorth[group]; ok {
		return w
	}
	return c.Groups[group].Worth
}

// GroupReplicas returns the desired number of replicas under the preset in force.
func (c *Configuration) GroupReplicas(group string) int {
	if n, ok := c.Presets[c.ActivePreset].GroupReplicas[group]; ok {
		return n
	}
	return c.Groups[group].Replicas
}

// clone copies the configuration and its maps, but not the contents of the map values.
func (c *Configuration) clone() Configuration {
	n := *c
	n.Workspaces = cloneMap(c.Workspaces)
	n.Classes = cloneMap(c.Classes)
	n.Groups = cloneMap(c.Groups)
	n.Presets = cloneMap(c.Presets)
	n.DrainedVMs = cloneMap(c.DrainedVMs)
	n.DrainedGroups = cloneMap(c.DrainedGroups)
	n.Routes = cloneMap(c.Routes)
	n.Services = cloneMap(c.Services)
	return n
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
