package tool

import (
	"crypto/rand"
	"encoding/base64"
	"flag"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
)

// keyBytes is the size of a generated workspace key. 256 random bits can't be guessed, so the
// stored hash need not be a slow one.
const keyBytes = 32

func workspaceCommand() command {
	return command{
		name:      "workspace",
		arguments: "list | set NAME | remove NAME",
		summary:   "List, add, change or remove workspaces",
		details: `set adds a workspace, or changes the fields whose flags are given. A new workspace
needs -key-file or -new-key. Only the SHA-256 of the key is sent.

Example: citronstep workspace set audits -new-key audits.key -share 2
`,
		setup: func(set *flag.FlagSet) func(*invocation) error {
			w := &workspaceFlags{set: set}
			w.register()
			return func(i *invocation) error { return i.workspace(w) }
		},
	}
}

type workspaceFlags struct {
	changeFlags
	set     *flag.FlagSet
	keyFile string
	newKey  string
	share   int
	maxOpen int
}

func (f *workspaceFlags) register() {
	f.changeFlags.register(f.set)
	f.set.StringVar(&f.keyFile, "key-file", "", "file with the workspace's key")
	f.set.StringVar(&f.newKey, "new-key", "", "generate a random key and write it to this new file")
	f.set.IntVar(&f.share, "share", 1, "weight (share) against workspaces of equal worth")
	f.set.IntVar(&f.maxOpen, "max-open", 0, "limit on open requests on one entry; 0 means the entry's own limit")
}

func (i *invocation) workspace(w *workspaceFlags) error {
	switch {
	case len(i.args) == 1 && i.args[0] == "list":
		return i.listWorkspaces()
	case len(i.args) == 2 && i.args[0] == "set":
		return i.setWorkspace(w, i.args[1])
	case len(i.args) == 2 && i.args[0] == "remove":
		return i.removeWorkspace(&w.changeFlags, i.args[1])
	}
	return i.usage()
}

func (i *invocation) listWorkspaces() error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	rows := []blackboard.Workspace{}
	t := newTable("WORKSPACE", "SHARE", "MAX OPEN", "KEY SHA-256")
	for _, name := range sortedKeys(current.Workspaces) {
		w := current.Workspaces[name]
		rows = append(rows, w)
		t.add(name, strconv.Itoa(max(1, w.Share)), strconv.Itoa(w.MaxOpen), w.KeySHA256)
	}
	if i.json {
		return i.printJSON(rows)
	}
	t.write(i.out)
	return nil
}

func (i *invocation) setWorkspace(f *workspaceFlags, name string) error {
	if !namePattern.MatchString(name) {
		return usagef("workspace %q: the name must be %s", name, allowedName)
	}
	if f.keyFile != "" && f.newKey != "" {
		return usagef("give -key-file or -new-key, not both")
	}
	if f.share < 0 || f.maxOpen < 0 {
		return usagef("-share and -max-open must be 0 or more")
	}
	current, err := i.configuration()
	if err != nil {
		return err
	}
	old, known := current.Workspaces[name]
	if !known && f.keyFile == "" && f.newKey == "" {
		return usagef("workspace %s does not exist yet: give -key-file or -new-key", name)
	}
	next, err := f.edit(old)
	if err != nil {
		return err
	}
	next.Name = name
	if known && reflect.DeepEqual(next, old) && f.changeID == "" {
		return i.reportUnchanged(current)
	}
	return i.change(&f.changeFlags, current, blackboard.ConfigChange{Workspaces: []blackboard.Workspace{next}})
}

// edit returns the workspace with the fields whose flags are given.
func (f *workspaceFlags) edit(w blackboard.Workspace) (blackboard.Workspace, error) {
	var err error
	f.set.Visit(func(given *flag.Flag) {
		switch given.Name {
		case "share":
			w.Share = f.share
		case "max-open":
			w.MaxOpen = f.maxOpen
		}
	})
	key := ""
	switch {
	case f.keyFile != "":
		key, err = settings.ReadToken(f.keyFile)
	case f.newKey != "":
		key, err = writeNewKey(f.newKey)
	}
	if err != nil {
		return w, usagef("key: %v", err)
	}
	if key != "" {
		w.KeySHA256 = hashKey(key)
	}
	return w, nil
}

// writeNewKey generates a key and writes it to a file that must not exist yet, so that no key
// in use is overwritten.
func writeNewKey(path string) (string, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Trace(err)
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return "", errors.Trace(err)
	}
	if _, err := file.WriteString(key + "\n"); err != nil {
		_ = file.Close()
		return "", errors.Trace(err)
	}
	return key, errors.Trace(file.Close())
}

func (i *invocation) removeWorkspace(f *changeFlags, name string) error {
	current, err := i.configuration()
	if err != nil {
		return err
	}
	if _, ok := current.Workspaces[name]; !ok && f.changeID == "" {
		return notFound("workspace", name, strings.Join(sortedKeys(current.Workspaces), ", "))
	}
	return i.change(f, current, blackboard.ConfigChange{RemoveWorkspaces: []string{name}})
}
