package blackboard

import (
	"maps"
	"sort"

	"github.com/citronstep/citronstep/internal/failure"
)

// Configuration is what operators set. Written by: the admin API, through
// ConfigChange only. Read by: every entry and every controller.
type Configuration struct {
	// Revision grows by one with each accepted change and never goes back.
	Revision   uint64                  `json:"revision"`
	Workspaces map[string]Workspace    `json:"workspaces"`
	Classes    map[string]RequestClass `json:"classes"`
	Groups     map[string]GroupSpec    `json:"groups"`
	Presets    map[string]Preset       `json:"presets"`
	// ActivePreset is the one preset in force. It is a single field, so no
	// state with two presets or none can be written once the first is set.
	ActivePreset string `json:"active_preset"`
	// DrainedVMs and DrainedGroups are kept out of service until undrained.
	DrainedVMs    map[string]bool `json:"drained_vms"`
	DrainedGroups map[string]bool `json:"drained_groups"`
	// Version is the operators' number of the whole configuration in force; 0
	// while parts are changed one by one.
	Version  uint64                 `json:"version,omitempty"`
	Routes   map[string]Route       `json:"routes,omitempty"`
	Services map[string]ServiceSpec `json:"services,omitempty"`
	Limits   CallerLimits           `json:"limits"`
	// Document is the whole configuration as the operator sent it.
	Document []byte `json:"document,omitempty"`
}

// Workspace is a customer: its key, its limits and its share.
type Workspace struct {
	Name string `json:"name" toml:"name"`
	// KeySHA256 is the hex SHA-256 of the workspace's key; the key itself is
	// neither stored nor logged.
	KeySHA256 string `json:"key_sha256" toml:"key_sha256"`
	// MoreKeysSHA256 are further keys, so that a key can be exchanged without
	// a moment in which neither works.
	MoreKeysSHA256 []string `json:"more_keys_sha256,omitempty" toml:"more_keys_sha256"`
	// Priority ranks the workspace; 0 goes first. It comes before the priority
	// of routes.
	Priority int `json:"priority,omitempty" toml:"priority"`
	// Homes are the regions whose backend servers may take its requests; empty is any. Where
	// a route has homes too, both bind.
	Homes []string `json:"homes,omitempty" toml:"homes"`
	// Share weighs the workspace against others of equal worth; 0 means 1.
	Share int `json:"share" toml:"share"`
	// MaxOpen bounds the open requests of the workspace on one entry; 0 is
	// the entry's own limit.
	MaxOpen int `json:"max_open" toml:"max_open"`
}

// RequestClass is a kind of request, such as interactive or batch.
type RequestClass struct {
	Name string `json:"name" toml:"name"`
	// Worth orders requests: higher goes first. A preset may override it.
	Worth int `json:"worth" toml:"worth"`
	// TimeoutMillis is the deadline of a request that names none.
	TimeoutMillis int64 `json:"timeout_ms" toml:"timeout_ms"`
}

// GroupSpec asks for Replicas serving groups of VMsPerReplica VMs each.
type GroupSpec struct {
	Name          string `json:"name" toml:"name"`
	Model         string `json:"model" toml:"model"`
	Replicas      int    `json:"replicas" toml:"replicas"`
	VMsPerReplica int    `json:"vms_per_replica" toml:"vms_per_replica"`
	// Accelerators is how many each member VM must hold; 0 accepts any.
	Accelerators int `json:"accelerators" toml:"accelerators"`
	// Worth decides which group is repaired, loaded and kept first.
	Worth int `json:"worth" toml:"worth"`
	// FabricDomain pins the groups to one domain; empty leaves the choice.
	FabricDomain string `json:"fabric_domain,omitempty" toml:"fabric_domain"`
	// Pool names the engine pool that the groups are formed from. Engines of a
	// pool form a group among themselves, and it serves only once its first
	// member is told to open. Empty takes any VM, whose engine serves as soon
	// as the group is loaded.
	Pool string `json:"pool,omitempty" toml:"pool"`
	// Share, if Pool is set, takes the place of Replicas: the part of the
	// pool's VMs that the spec's groups are to hold.
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

// Preset is a named set of priorities, one of which is in force.
type Preset struct {
	Name string `json:"name" toml:"name"`
	// ClassWorth and WorkspaceWorth override or add worth by name.
	ClassWorth     map[string]int `json:"class_worth,omitempty" toml:"class_worth"`
	WorkspaceWorth map[string]int `json:"workspace_worth,omitempty" toml:"workspace_worth"`
	// GroupWorth and GroupReplicas override a GroupSpec while in force.
	GroupWorth    map[string]int `json:"group_worth,omitempty" toml:"group_worth"`
	GroupReplicas map[string]int `json:"group_replicas,omitempty" toml:"group_replicas"`
	// DowntimeWeight and StrandedWeight weigh group downtime against
	// stranded accelerators when a repair has to choose; 0 means 1.
	DowntimeWeight float64 `json:"downtime_weight,omitempty" toml:"downtime_weight"`
	StrandedWeight float64 `json:"stranded_weight,omitempty" toml:"stranded_weight"`
}

// ConfigChange is one operator's change. It applies whole or not at all.
type ConfigChange struct {
	// ChangeID makes the change idempotent: the same id resent gets the
	// answer of its first time.
	ChangeID string `json:"change_id"`
	// Expect is the configuration revision that the change was made against.
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

// ChangeOutcome is the answer to a ConfigChange, kept for resends.
type ChangeOutcome struct {
	Revision uint64         `json:"revision"`
	Failure  *failure.Error `json:"failure,omitempty"`
}

// maxRememberedChanges bounds the outcomes kept for resends. At the target
// size of 3,100 changes a day it holds more than a day.
const maxRememberedChanges = 4096

// Apply answers a resend with its first answer, refuses a change made against
// another revision, and else applies it whole.
//
// Two operators that race under one expected revision get one winner: the
// log orders them, and the second finds the revision moved.
func (c ConfigChange) apply(d *draft) (any, bool) {
	if c.ChangeID == "" {
		return ChangeOutcome{d.Config.Revision, failure.New(failure.TypeBadRequest, "change_id is missing")}, false
	}
	if old, ok := d.Changes[c.ChangeID]; ok {
		return old, false
	}
	outcome := c.decide(&d.Board)
	d.recordOutcome(c.ChangeID, outcome)
	return outcome, true
}

func (c ConfigChange) decide(b *Board) ChangeOutcome {
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

// check refuses a configuration that could not be carried out.
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

// hasValidKeys tells whether each key is a hash. A workspace of a whole
// configuration may have lost all its keys; any other has one.
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

// GroupReplicas returns how many replicas are wanted under the preset.
func (c *Configuration) GroupReplicas(group string) int {
	if n, ok := c.Presets[c.ActivePreset].GroupReplicas[group]; ok {
		return n
	}
	return c.Groups[group].Replicas
}

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
