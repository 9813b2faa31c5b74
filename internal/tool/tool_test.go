package tool

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

const configurationDocumentText = `
active_preset = "ordinary"

[[workspace]]
name = "audits"
key_file = "audits.key"
share = 2

[[class]]
name = "interactive"
worth = 10

[[group]]
name = "memos"
model = "memo-70b"
replicas = 1
vms_per_replica = 4

[[preset]]
name = "ordinary"

[[preset]]
name = "peak"
class_worth = { interactive = 100 }
`

// writeDocument writes a document and the key file that it names.
func writeDocument(t *testing.T, text string) string {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "configuration.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "audits.key"), []byte("k1\n"), 0o600))
	return path
}

func TestInitApplyAndUsePreset(t *testing.T) {
	f := newFakeAdmin(t)
	document := writeDocument(t, configurationDocumentText)

	f.must(t, ExitOK, "init", "-configuration", document)
	assert.Equal(t, f.board.Config.ActivePreset, "ordinary")
	assert.Equal(t, f.board.Config.Workspaces["audits"].KeySHA256, hashKey("k1"))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "init").out, "founded already"))

	assert.Assert(t, is.Contains(f.must(t, ExitOK, "apply", document).out, "no change"))
	assert.Equal(t, len(f.posts), 0)

	r := f.must(t, ExitOK, "preset", "use", "peak")
	assert.Assert(t, is.Contains(r.out, "revision 2 is in force everywhere"))
	assert.Equal(t, f.board.Config.ActivePreset, "peak")
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "preset", "list").out, "interactive=100"))
	f.must(t, ExitNotFound, "preset", "use", "festival")
}

// A change is accepted, but its response is lost. Giving up would leave the outcome unknown,
// and a new change id would apply the change twice. The tool must send the same id again and
// get the first outcome.
func TestLostAnswerIsResentUnderTheSameID(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	f.set(func() { f.loseAnswers = 2 })

	f.must(t, ExitOK, "apply", writeDocument(t, configurationDocumentText))

	assert.Equal(t, f.board.Config.Revision, uint64(1))
	assert.Equal(t, len(f.posts), 3)
	assert.Equal(t, f.posts[0].ChangeID, f.posts[2].ChangeID)
}

// All responses are lost until the timeout, so the outcome of the change is unknown. The
// message must name the change id, and a later run with that id must return the outcome without
// a second change.
func TestUnknownOutcomeNamesTheChangeID(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	document := writeDocument(t, configurationDocumentText)
	f.set(func() { f.loseAnswers = 1000 })

	r := f.must(t, ExitUnavailable, "apply", document, "-timeout", "400ms")
	id := f.posts[0].ChangeID
	assert.Assert(t, is.Contains(r.err, "-change-id "+id))

	f.set(func() { f.loseAnswers = 0 })
	f.must(t, ExitOK, "apply", document, "-change-id", id)
	assert.Equal(t, f.board.Config.Revision, uint64(1))
}

// Two operators read the same revision and both change it. The second must get a conflict that
// names the current revision, and no part of the second change may be applied.
func TestRaceOfTwoOperatorsIsAConflict(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init", "-configuration", writeDocument(t, configurationDocumentText))
	f.must(t, ExitOK, "group", "set", "memos", "-replicas", "2")

	r := f.must(t, ExitConflict, "group", "set", "memos", "-replicas", "3", "-expect", "1")
	assert.Assert(t, is.Contains(r.err, "revision 2"))
	assert.Equal(t, f.board.Config.Groups["memos"].Replicas, 2)

	r = f.must(t, ExitConflict, "group", "set", "memos", "-replicas", "3", "-expect", "1", "-json")
	var e errorDocument
	assert.NilError(t, json.Unmarshal([]byte(r.err), &e))
	assert.Equal(t, e.ExitCode, ExitConflict)
	assert.Equal(t, e.Error.Revision, uint64(2))
}

// The control process at the first address is down. The tool must try the next address instead
// of reporting the system as unavailable.
func TestNextAddressIsTriedWhenOneIsDown(t *testing.T) {
	f := newFakeAdmin(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	down := listener.Addr().String()
	assert.NilError(t, listener.Close())

	r := runTool(down+","+f.address(), "status")
	assert.Equal(t, r.code, ExitOK, r.err)
	r = runTool(down, "status", "-timeout", "100ms")
	assert.Equal(t, r.code, ExitUnavailable)
	assert.Assert(t, is.Contains(r.err, down))
}

func TestTokenAndConnectionFile(t *testing.T) {
	f := newFakeAdmin(t)
	f.token = "operator"
	f.must(t, ExitDenied, "status")

	folder := t.TempDir()
	token := filepath.Join(folder, "operator.token")
	assert.NilError(t, os.WriteFile(token, []byte("operator\n"), 0o600))
	f.must(t, ExitOK, "status", "-token-file", token)

	file := filepath.Join(folder, "tool.toml")
	text := "addresses = [\"" + f.address() + "\"]\ntoken_file = \"" + token + "\"\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	assert.Equal(t, runTool("", "status", "-config", file).code, ExitOK)
	assert.NilError(t, os.WriteFile(file, []byte("adresses = []\n"), 0o600))
	r := runTool("", "status", "-config", file)
	assert.Equal(t, r.code, ExitUsage)
	assert.Assert(t, is.Contains(r.err, "tool.toml:1:1: adresses: unknown key; allowed: addresses, token_file"))
}

func TestFaultyDocumentSendsNothing(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	r := f.must(t, ExitUsage, "apply", writeDocument(t, `
[[workspace]]
name = "a b"
[[class]]
name = "x"
[[class]]
name = "x"
[[group]]
name = "g"
vms_per_replica = 0
[[preset]]
name = "p"
class_worth = { interactve = 1 }
`))
	for _, want := range []string{
		":3:1: workspace[0].name:", ":2:3: workspace[0].key_file:", ":7:1: class[1].name:",
		":8:3: group[0].model:", ":10:1: group[0].vms_per_replica:",
	} {
		assert.Assert(t, is.Contains(r.err, want))
	}
	assert.Equal(t, len(f.posts), 0)
}

// A preset names a class that does not exist. The server would accept it, and the class would
// silently keep its default worth while the preset is active.
func TestPresetWithUnknownClassIsRefused(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	r := f.must(t, ExitUsage, "apply", writeDocument(t,
		strings.Replace(configurationDocumentText, "{ interactive", "{ interactve", 1)))
	assert.Assert(t, is.Contains(r.err, "preset[1].class_worth.interactve: is unknown"))
	assert.Equal(t, len(f.posts), 0)
}

func TestDiffAndPrune(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init", "-configuration", writeDocument(t, configurationDocumentText))
	smaller := writeDocument(t, `
[[workspace]]
name = "audits"
key_file = "audits.key"
share = 3
`)
	r := f.must(t, ExitDiffers, "diff", smaller)
	assert.Assert(t, is.Contains(r.out, "change  workspace  audits  share  2     3"))
	r = f.must(t, ExitDiffers, "diff", smaller, "-json", "-prune")
	var p plan
	assert.NilError(t, json.Unmarshal([]byte(r.out), &p))
	assert.Equal(t, len(p.Differences), 5)

	f.must(t, ExitOK, "apply", smaller)
	assert.Equal(t, len(f.board.Config.Groups), 1)
	f.must(t, ExitOK, "diff", smaller)
}

// A drain is accepted while a request is still in flight on the VM's group. The tool may report
// the VM as drained only when the VM holds no group.
func TestDrainReportsProgressUntilDone(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	f.pending = 1
	polls := 0
	f.onStatus = func(s *adminapi.Status) {
		polls++
		vm := blackboard.VM{ID: "engine-1", Group: "memos-0"}
		if polls > 3 {
			vm.Group = ""
		}
		s.VMs = []blackboard.VM{vm}
	}
	r := f.must(t, ExitOK, "drain", "vm", "engine-1")
	assert.Assert(t, is.Contains(r.err, "not yet in force on: entry-2"))
	assert.Assert(t, is.Contains(r.err, "waiting for group memos-0 on VM engine-1"))
	assert.Assert(t, is.Contains(r.out, "vm engine-1 is drained"))
	assert.Assert(t, f.board.Config.DrainedVMs["engine-1"])

	f.must(t, ExitNotFound, "drain", "vm", "engine-9")
	f.must(t, ExitOK, "undrain", "vm", "engine-1")
	f.must(t, ExitNotFound, "undrain", "vm", "engine-1")
}

func TestUnfinishedDrainExitCode(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init", "-configuration", writeDocument(t, configurationDocumentText))
	f.onStatus = func(s *adminapi.Status) {
		s.Groups = []blackboard.Group{{ID: "memos-0", Spec: "memos", State: blackboard.Draining}}
	}
	r := f.must(t, ExitUnfinished, "drain", "group", "memos", "-done-wait", "10ms")
	assert.Assert(t, is.Contains(r.err, "memos-0 (draining)"))
}

func TestWorkspaceSetSendsOnlyTheKeyHash(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	f.must(t, ExitUsage, "workspace", "set", "audits")
	path := filepath.Join(t.TempDir(), "audits.key")
	f.must(t, ExitOK, "workspace", "set", "audits", "-new-key", path)
	key, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, f.posts[0].Workspaces[0].KeySHA256, hashKey(strings.TrimSpace(string(key))))
	f.must(t, ExitUsage, "workspace", "set", "audits", "-new-key", path)

	f.must(t, ExitOK, "workspace", "set", "audits", "-share", "4")
	assert.Equal(t, f.board.Config.Workspaces["audits"].Share, 4)
	assert.Equal(t, f.board.Config.Workspaces["audits"].KeySHA256, hashKey(strings.TrimSpace(string(key))))
	f.must(t, ExitOK, "workspace", "remove", "audits")
	f.must(t, ExitNotFound, "workspace", "remove", "audits")
}

// The leader changes while the tool follows events. The new leader numbers its events from 1,
// so a follower that keeps its old sequence number would see none of them.
func TestEventsFollowANewLeader(t *testing.T) {
	f := newFakeAdmin(t)
	event := func(n uint64, text string) adminapi.Event {
		return adminapi.Event{Sequence: n, Kind: "group", Subject: "memos-0", Text: text}
	}
	f.events = []adminapi.Events{
		{Leader: "a", Events: []adminapi.Event{event(7, "first")}},
		{Leader: "b"},
		{Leader: "b", Events: []adminapi.Event{event(1, "second")}},
	}
	r := f.must(t, ExitNotFound, "events", "-follow")
	assert.Assert(t, is.Contains(r.out, "first"))
	assert.Assert(t, is.Contains(r.out, "second"))
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range commands() {
		r := runTool("", c.name, "-h")
		assert.Equal(t, r.code, ExitOK)
		assert.Assert(t, is.Contains(r.out, "Usage: citronstep "+c.name))
		assert.Assert(t, is.Contains(r.out, "Exit codes:"))
		assert.Assert(t, is.Contains(r.out, "-addresses"))
		assert.Equal(t, r.err, "")
	}
	assert.Equal(t, runTool("", "staus").code, ExitUsage)
	assert.Equal(t, runTool("").code, ExitUsage)
	assert.Equal(t, runTool("localhost:8081", "status").code, ExitUsage)
}

func TestStatusSectionsAndJSON(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	f.onStatus = func(s *adminapi.Status) {
		s.Groups = []blackboard.Group{{ID: "memos-0", State: blackboard.Serving, Members: []blackboard.GroupMember{{VM: "a"}, {VM: "b"}}}}
	}
	assert.Assert(t, !strings.Contains(f.must(t, ExitOK, "status").out, "not founded"))
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "status", "-section", "groups").out, "a,b"))
	var groups []blackboard.Group
	assert.NilError(t, json.Unmarshal([]byte(f.must(t, ExitOK, "status", "-json", "-section", "groups").out), &groups))
	assert.Equal(t, groups[0].ID, "memos-0")
	f.must(t, ExitUsage, "status", "-section", "weather")
}

// Two of three control processes are lost. The third still answers, with serving groups and
// measures of zero, so a monitor that reads the tables alone would report a healthy system. The
// exit code must show the failure.
func TestStatusWithoutALeaderIsAFailure(t *testing.T) {
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	f.onStatus = func(s *adminapi.Status) { s.Replicas[0].Role = "voter" }
	for _, args := range [][]string{{"status"}, {"status", "-json"}, {"status", "-section", "groups"}} {
		r := f.must(t, ExitUnavailable, args...)
		assert.Assert(t, is.Contains(r.err, "no control process leads"))
		assert.Assert(t, r.out != "")
	}
}

// A cluster starts with one voter and the other processes join later. If the first disk is lost
// before that, accepted changes are lost. init must return only when all named processes hold
// the state.
func TestInitWaitsForTheOtherControlProcesses(t *testing.T) {
	f := newFakeAdmin(t)
	both := f.address() + "," + f.address()
	r := runTool(both, "init", "-wait", "10ms")
	assert.Equal(t, r.code, ExitUnfinished)
	assert.Assert(t, is.Contains(r.err, "1 of 2 control processes hold the state"))
	f.set(func() {
		f.onStatus = func(s *adminapi.Status) {
			s.Replicas = append(s.Replicas, adminapi.Replica{ID: "2", Role: "voter"})
		}
	})
	assert.Equal(t, runTool(both, "init").code, ExitOK)
}

// One control process has not joined yet and answers "not founded"; the next one has joined.
// The tool must try the next address, and give up at once when all addresses answer so.
func TestNotFoundedIsFinalOnlyFromAll(t *testing.T) {
	notJoined := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failure.Write(w, failure.New(failure.TypeNotFounded, "the cluster is not founded"))
	}))
	defer notJoined.Close()
	address := strings.TrimPrefix(notJoined.URL, "http://")
	f := newFakeAdmin(t)
	f.must(t, ExitOK, "init")
	assert.Equal(t, runTool(address+","+f.address(), "preset", "list").code, ExitOK)
	assert.Equal(t, runTool(address+","+address, "preset", "list").code, ExitFailure)
}

// An operator starts all processes and runs init at once. One process does not listen yet, so
// init is refused for a moment. The tool must retry instead of reporting a conflict.
func TestInitRetriesWhilePeerStarts(t *testing.T) {
	f := newFakeAdmin(t)
	f.refuseInits = 2
	assert.Assert(t, is.Contains(f.must(t, ExitOK, "init").err, "not founded yet: conflict: a peer could not be asked"))
	f.set(func() { f.refuseInits = 1000 })
	f.must(t, ExitConflict, "init", "-timeout", "100ms")
}
