package tool

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/tomlfile"
)

// document is a configuration document, the input of apply, diff and init.
type document struct {
	Workspaces []documentWorkspace       `toml:"workspace"`
	Classes    []blackboard.RequestClass `toml:"class"`
	Groups     []blackboard.GroupSpec    `toml:"group"`
	Presets    []blackboard.Preset       `toml:"preset"`
	// ActivePreset, if not empty, becomes the active preset in the same change.
	ActivePreset string `toml:"active_preset"`
}

// documentWorkspace names its key by a file or by the key's hash, so that no document contains
// a key.
type documentWorkspace struct {
	Name           string   `toml:"name"`
	KeyFile        string   `toml:"key_file"`
	KeySHA256      string   `toml:"key_sha256"`
	MoreKeysSHA256 []string `toml:"more_keys_sha256"`
	Priority       int      `toml:"priority"`
	Share          int      `toml:"share"`
	MaxOpen        int      `toml:"max_open"`
}

func (w documentWorkspace) blackboardWorkspace() blackboard.Workspace {
	return blackboard.Workspace{
		Name: w.Name, KeySHA256: w.KeySHA256, MoreKeysSHA256: w.MoreKeysSHA256,
		Priority: w.Priority, Share: w.Share, MaxOpen: w.MaxOpen,
	}
}

// loadedDocument is a checked document with the source position of each key.
type loadedDocument struct {
	document
	source *tomlfile.Document
}

// loadDocument reads and checks the document at path and resolves its key files. The error
// lists every fault of the file.
func loadDocument(path string) (*loadedDocument, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	d := parseDocument(path, data)
	if !d.source.HasSyntaxError() {
		d.resolveKeys(filepath.Dir(path))
	}
	return d, d.source.Faults().ErrorOrNil()
}

// parseDocument checks a document without reading its key files.
func parseDocument(path string, data []byte) *loadedDocument {
	d := &loadedDocument{}
	d.source = tomlfile.Decode(path, data, &d.document)
	if d.source.HasSyntaxError() {
		return d
	}
	d.checkWorkspaces()
	d.checkClasses()
	d.checkGroups()
	d.checkPresets()
	return d
}

// hashKey returns the hex SHA-256 under which a workspace's key is stored.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (d *loadedDocument) resolveKeys(folder string) { resolveKeys(d.source, d.Workspaces, folder) }

// resolveKeys reads the key files that workspaces name and sets the hashes of the keys.
func resolveKeys(source *tomlfile.Document, workspaces []documentWorkspace, folder string) {
	for i := range workspaces {
		w := &workspaces[i]
		if w.KeyFile == "" || w.KeySHA256 != "" {
			continue
		}
		path := w.KeyFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		key, err := settings.ReadToken(path)
		if err != nil {
			source.AddFault(elementKey("workspace", i, "key_file"), err.Error(),
				"a file with the workspace's key, readable by its owner or group only")
			continue
		}
		w.KeySHA256 = hashKey(key)
	}
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const allowedHash = "64 lower-case hex digits: the SHA-256 of the key"

const allowedName = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit; each name once"

// elementKey returns the path of a key in an array element, such as group[0].model.
func elementKey(array string, i int, key string) string {
	return array + "[" + strconv.Itoa(i) + "]." + key
}

// nameChecker checks the names of one array of the document, in order.
type nameChecker struct {
	d     *loadedDocument
	array string
	seen  map[string]bool
}

func (d *loadedDocument) nameChecker(array string) *nameChecker {
	return &nameChecker{d: d, array: array, seen: map[string]bool{}}
}

func (n *nameChecker) check(i int, name string) {
	key := elementKey(n.array, i, "name")
	switch {
	case n.d.source.HasFault(key):
	case !namePattern.MatchString(name):
		n.d.source.AddFault(key, strconv.Quote(name), allowedName)
	case n.seen[name]:
		n.d.source.AddFault(key, strconv.Quote(name)+" occurs more than once", allowedName)
	}
	n.seen[name] = true
}

// atLeast adds a fault when value is less than low and the key has no fault yet.
func (d *loadedDocument) atLeast(key string, value int64, low int64) {
	if value < low && !d.source.HasFault(key) {
		d.source.AddFault(key, strconv.FormatInt(value, 10), strconv.FormatInt(low, 10)+" or more")
	}
}

func (d *loadedDocument) checkWorkspaces() {
	n := d.nameChecker("workspace")
	for i, w := range d.Workspaces {
		n.check(i, w.Name)
		key := func(name string) string { return elementKey("workspace", i, name) }
		switch {
		case (w.KeyFile == "") == (w.KeySHA256 == ""):
			d.source.AddFault(key("key_file"), "one key is needed", "either key_file or key_sha256")
		case w.KeySHA256 != "" && !hashPattern.MatchString(w.KeySHA256):
			d.source.AddFault(key("key_sha256"), strconv.Quote(w.KeySHA256), allowedHash)
		}
		for k, hash := range w.MoreKeysSHA256 {
			if !hashPattern.MatchString(hash) {
				d.source.AddFault(key("more_keys_sha256["+strconv.Itoa(k)+"]"), strconv.Quote(hash), allowedHash)
			}
		}
		d.atLeast(key("share"), int64(w.Share), 0)
		d.atLeast(key("max_open"), int64(w.MaxOpen), 0)
	}
}

func (d *loadedDocument) checkClasses() {
	n := d.nameChecker("class")
	for i, c := range d.Classes {
		n.check(i, c.Name)
		d.atLeast(elementKey("class", i, "timeout_ms"), c.TimeoutMillis, 0)
	}
}

func (d *loadedDocument) checkGroups() {
	n := d.nameChecker("group")
	for i, g := range d.Groups {
		n.check(i, g.Name)
		key := func(name string) string { return elementKey("group", i, name) }
		if g.Model == "" && !d.source.HasFault(key("model")) {
			d.source.AddFault(key("model"), "is missing", "the model's name as callers send it")
		}
		d.atLeast(key("replicas"), int64(g.Replicas), 0)
		d.atLeast(key("vms_per_replica"), int64(g.VMsPerReplica), 1)
		d.atLeast(key("accelerators"), int64(g.Accelerators), 0)
	}
}

func (d *loadedDocument) checkPresets() {
	n := d.nameChecker("preset")
	for i, p := range d.Presets {
		n.check(i, p.Name)
		key := func(name string) string { return elementKey("preset", i, name) }
		for _, group := range sortedKeys(p.GroupReplicas) {
			d.atLeast(key("group_replicas."+group), int64(p.GroupReplicas[group]), 0)
		}
		if p.DowntimeWeight < 0 {
			d.source.AddFault(key("downtime_weight"), strconv.FormatFloat(p.DowntimeWeight, 'g', -1, 64), "0 or more; 0 means 1")
		}
		if p.StrandedWeight < 0 {
			d.source.AddFault(key("stranded_weight"), strconv.FormatFloat(p.StrandedWeight, 'g', -1, 64), "0 or more; 0 means 1")
		}
	}
}

// checkReferences finds names in presets that the changed configuration would not contain. The
// server would accept such names without any effect: a preset with a misspelt class leaves that
// class at its default worth.
func (d *loadedDocument) checkReferences(merged blackboard.Configuration) {
	for i, p := range d.Presets {
		checkNamesExist(d, elementKey("preset", i, "class_worth"), p.ClassWorth, merged.Classes)
		checkNamesExist(d, elementKey("preset", i, "workspace_worth"), p.WorkspaceWorth, merged.Workspaces)
		checkNamesExist(d, elementKey("preset", i, "group_worth"), p.GroupWorth, merged.Groups)
		checkNamesExist(d, elementKey("preset", i, "group_replicas"), p.GroupReplicas, merged.Groups)
	}
	if _, ok := merged.Presets[d.ActivePreset]; d.ActivePreset != "" && !ok {
		d.source.AddFault("active_preset", strconv.Quote(d.ActivePreset)+" is unknown", "the name of a preset")
	}
}

// checkNamesExist adds a fault for each name in references that is not in known.
func checkNamesExist[V any](d *loadedDocument, key string, references map[string]int, known map[string]V) {
	for _, name := range sortedKeys(references) {
		if _, ok := known[name]; !ok {
			d.source.AddFault(key+"."+name, "is unknown", "a name in the document or the configuration")
		}
	}
}
