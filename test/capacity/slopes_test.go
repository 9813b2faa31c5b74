package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/placement"
	"github.com/citronstep/citronstep/internal/record"
)

// vmsPerGroup is the number of VMs in a group, as in docs/CAPACITY.md.
const vmsPerGroup = 8

var epoch = time.Unix(1_000_000, 0)

// TestSlopes measures the slopes of single parts within the test process.
func TestSlopes(t *testing.T) {
	t.Run("Board", measureBoard)
	t.Run("Rows", measureRows)
	t.Run("Evidence", measureEvidence)
	t.Run("Controllers", measureControllers)
	t.Run("Records", measureRecords)
	t.Run("Decisions", measureDecisions)
}

// apply applies commands to a board and fails the test if a command is malformed.
func apply(t testing.TB, b *blackboard.Board, commands ...blackboard.Command) *blackboard.Board {
	t.Helper()
	for _, c := range commands {
		data, err := blackboard.Encode(c)
		assert.NilError(t, err)
		b, _, err = b.Apply(data)
		assert.NilError(t, err)
	}
	return b
}

func vmName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func vmRow(i int) blackboard.VM {
	return blackboard.VM{
		ID: vmName(i), Incarnation: fmt.Sprintf("%016x", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		DataCentre: fmt.Sprintf("cluj-%c", 'a'+i%3), FabricDomain: fmt.Sprintf("rack-%d", i/vmsPerGroup),
		Accelerators: 4, Liveness: blackboard.Alive, Weights: []string{"memo-large"}, SinceMillis: epoch.UnixMilli(),
	}
}

// boardOf returns a board with n VMs in serving groups of vmsPerGroup.
func boardOf(t testing.TB, n int) *blackboard.Board {
	t.Helper()
	spec := blackboard.GroupSpec{Name: "memos", Model: "memo-large", Replicas: n / vmsPerGroup, VMsPerReplica: vmsPerGroup}
	b := apply(t, blackboard.New(), &blackboard.Found{ClusterID: "0123456789abcdef", Initial: blackboard.ConfigChange{
		ChangeID: "first", Groups: []blackboard.GroupSpec{spec},
		Presets: []blackboard.Preset{{Name: "ordinary"}}, UsePreset: "ordinary",
	}})
	for i := range n {
		b = apply(t, b, &blackboard.PutVM{VM: vmRow(i)})
	}
	for g := range n / vmsPerGroup {
		b = addGroup(t, b, g)
	}
	return b
}

func addGroup(t testing.TB, b *blackboard.Board, g int) *blackboard.Board {
	group := blackboard.Group{
		ID: fmt.Sprintf("memos-%d", g), Spec: "memos", Model: "memo-large", FabricDomain: fmt.Sprintf("rack-%d", g), DataCentre: "cluj-a",
	}
	for i := g * vmsPerGroup; i < (g+1)*vmsPerGroup; i++ {
		v := b.VMs[vmName(i)]
		group.Members = append(group.Members, blackboard.GroupMember{VM: v.ID, Incarnation: v.Incarnation, Address: v.Address})
	}
	b = apply(t, b, &blackboard.FormGroup{Group: group, NowMillis: epoch.UnixMilli()})
	number := b.Groups[group.ID].Epoch
	return apply(t, b,
		&blackboard.SetGroupState{Group: group.ID, Epoch: number, From: blackboard.Forming, To: blackboard.Loading},
		&blackboard.SetGroupState{Group: group.ID, Epoch: number, From: blackboard.Loading, To: blackboard.Serving})
}

func measureBoard(t *testing.T) {
	var size, encode, decode, put, change, heap []point
	for _, n := range sizes() {
		b := boardOf(t, n)
		assert.Equal(t, len(b.VMs), n)
		data, err := b.Encode()
		assert.NilError(t, err)
		x := float64(n)
		size = append(size, point{x, float64(len(data))})
		encode = append(encode, point{x, microsPerSecond * timeOf(func() { _, _ = b.Encode() })})
		decode = append(decode, point{x, microsPerSecond * timeOf(func() { _, _ = blackboard.Decode(data) })})
		put = append(put, point{x, microsPerSecond * timeToApply(t, b, &blackboard.SetLiveness{VM: vmName(0), Incarnation: vmRow(0).Incarnation, To: blackboard.Paused})})
		change = append(change, point{x, microsPerSecond * timeToApply(t, b, &blackboard.ConfigChange{ChangeID: "next", Expect: b.Config.Revision, UsePreset: "ordinary"})})
		heap = append(heap, point{x, heapOf(func() any { return boardOf(t, n) })})
	}
	r := newReport(t, "Blackboard against VMs, in serving groups of eight")
	r.add("snapshot", size, "B")
	r.add("snapshot, encode", encode, "µs")
	r.add("snapshot, decode", decode, "µs")
	r.add("apply a change of liveness", put, "µs")
	r.add("apply a change of configuration", change, "µs")
	r.add("memory of one copy", heap, "B")
	r.print()
}

// timeToApply returns the median time in seconds to apply a command.
func timeToApply(t testing.TB, b *blackboard.Board, c blackboard.Command) float64 {
	t.Helper()
	data, err := blackboard.Encode(c)
	assert.NilError(t, err)
	return timeOf(func() { _, _, _ = b.Apply(data) })
}

// rowKinds maps each other kind of row on the board to a function that returns the command which
// adds the i-th row.
var rowKinds = map[string]func(i int, b *blackboard.Board) blackboard.Command{
	"entry": func(i int, _ *blackboard.Board) blackboard.Command {
		address := fmt.Sprintf("10.1.%d.%d", i/250, i%250)
		return &blackboard.PutEntry{Entry: blackboard.Entry{
			ID: fmt.Sprintf("entry-%04d", i), Address: address + ":8080", PeerAddress: address + ":8082", DataCentre: "cluj-a",
		}}
	},
	"workspace": func(i int, b *blackboard.Board) blackboard.Command {
		return &blackboard.ConfigChange{ChangeID: fmt.Sprint("w", i), Expect: b.Config.Revision, Workspaces: []blackboard.Workspace{{
			Name: fmt.Sprintf("workspace-%04d", i), KeySHA256: fmt.Sprintf("%064x", i), Share: 1,
		}}}
	},
	"remembered change": func(i int, b *blackboard.Board) blackboard.Command {
		return &blackboard.ConfigChange{ChangeID: fmt.Sprintf("01ebf93f-4505-42df-9f25-%012d", i), Expect: b.Config.Revision, UsePreset: "ordinary"}
	},
	"suspect": func(i int, _ *blackboard.Board) blackboard.Command {
		return &blackboard.ReportCrash{Fingerprints: []string{fmt.Sprintf("%032x", i)}, Incarnation: fmt.Sprintf("%016x", i), NowMillis: epoch.UnixMilli()}
	},
}

func measureRows(t *testing.T) {
	r := newReport(t, "Blackboard against its other rows")
	for _, kind := range []string{"entry", "workspace", "remembered change", "suspect"} {
		var size, heap, again []point
		for _, n := range sizes() {
			var b *blackboard.Board
			heap = append(heap, point{float64(n), heapOf(func() any {
				b = boardWithRows(t, kind, n)
				return b
			})})
			data, err := b.Encode()
			assert.NilError(t, err)
			size = append(size, point{float64(n), float64(len(data))})
			again = append(again, point{float64(n), microsPerSecond * timeToApply(t, b, rowKinds[kind](n, b))})
		}
		r.add(kind+": snapshot", size, "B")
		r.add(kind+": memory", heap, "B")
		r.add(kind+": apply one more", again, "µs")
	}
	r.print()
}

// boardWithRows returns a board with one group and n rows of a kind.
func boardWithRows(t testing.TB, kind string, n int) *blackboard.Board {
	b := boardOf(t, vmsPerGroup)
	for i := range n {
		b = apply(t, b, rowKinds[kind](i, b))
	}
	return b
}

// evidenceTableOf returns an evidence table with announcements of n engines in serving groups.
func evidenceTableOf(n int, sequence uint64) *evidence.Table {
	table := evidence.NewTable("entry-1", 1)
	addAnnouncements(table, n, sequence, epoch)
	return table
}

// addAnnouncements adds to the table an announcement of each of n engines.
func addAnnouncements(table *evidence.Table, n int, sequence uint64, now time.Time) {
	for i := range n {
		v := vmRow(i)
		table.Record(now, "entry-1", backend.Announcement{
			ID: v.ID, Incarnation: v.Incarnation, Sequence: sequence, Kind: backend.KindEngine, Address: v.Address,
			DataCentre: v.DataCentre, FabricDomain: v.FabricDomain, Accelerators: 4, Weights: v.Weights, Model: "memo-large",
			Group: fmt.Sprintf("memos-%d", i/vmsPerGroup), Epoch: uint64(i/vmsPerGroup + 1), Phase: backend.PhaseReady,
			Load: &backend.Load{Running: 7, Queued: 1, TokensInFlight: 5200, TokensPerSecond: 410.5, Capacity: 8000, AgeMillis: 900},
		})
	}
}

func measureEvidence(t *testing.T) {
	// On average a line waits for half a digest interval.
	made := epoch.Add(evidence.DigestInterval / 2)
	var size, nothing, exchanged, heap []point
	for _, n := range sizes() {
		x := float64(n)
		table := evidenceTableOf(n, 1)
		first, cursor := table.Digest(epoch, evidence.Cursor{})
		addAnnouncements(table, n, 2, epoch)
		lines, newest := table.Digest(made, cursor)
		assert.Equal(t, len(lines), n)
		link := newLink(t)
		link.receive(link.send(first))
		size = append(size, point{x, float64(len(link.send(lines)))})
		link = newLink(t)
		other := evidence.NewTable("entry-2", 1)
		exchanged = append(exchanged, point{x, microsPerSecond * timeOf(func() {
			lines, _ := table.Digest(made, cursor)
			other.Merge(epoch, "entry-1", link.receive(link.send(lines)))
			link.answer()
		})})
		nothing = append(nothing, point{x, microsPerSecond * timeOf(func() { _, newest = table.Digest(made, newest) })})
		heap = append(heap, point{x, heapOf(func() any { return evidenceTableOf(n, 1) })})
	}
	r := newReport(t, "Evidence against VMs; a digest holds every VM once, without details and with unchanged loads")
	r.add("digest", size, "B")
	r.add("digest with nothing new, make", nothing, "µs")
	r.add("digest, make, encode, decode and merge", exchanged, "µs")
	r.add("memory of a table", heap, "B")
	r.print()
}

func measureControllers(t *testing.T) {
	var run, routable []point
	for _, n := range sizes() {
		b, table := boardOf(t, n), evidenceTableOf(n, 1)
		table.Digest(epoch, evidence.Cursor{})
		v := controller.View{Board: b, Evidence: table, Memory: controller.NewMemory(epoch, 0), Term: 2, LeaseUntil: epoch.Add(time.Hour)}
		x := float64(n)
		run = append(run, point{x, microsPerSecond * timeOf(func() { controller.Run(v, epoch) })})
		routable = append(routable, point{x, microsPerSecond * timeOf(func() {
			for id := range b.Groups {
				table.Routable(epoch, b, id)
			}
		})})
	}
	r := newReport(t, "One run of the controllers, and one look of an entry at its routes, against VMs")
	r.add("controllers, one run", run, "µs")
	r.add("routes, one look", routable, "µs")
	r.print()
}

// recordTableOf returns a table with n finished at-most-once records without answers.
func recordTableOf(n int) *record.Table {
	table := record.NewTable()
	for i := range n {
		key, attempt := fmt.Sprintf("audits/01ebf93f-4505-42df-9f25-%012d", i), fmt.Sprint(i)
		claim, _ := record.EncodeCommand(record.Command{Claim: &record.Claim{Key: key, BodyHash: fmt.Sprintf("%032x", i), Entry: "entry-1", Attempt: attempt, DeadlineMillis: 60_000, NowMillis: 1}})
		table.Apply(claim)
		finish, _ := record.EncodeCommand(record.Command{Finish: &record.Finish{Key: key, Attempt: attempt, NowMillis: 2}})
		table.Apply(finish)
	}
	return table
}

func measureRecords(t *testing.T) {
	var heap, size, encode, one []point
	for _, n := range sizes() {
		n *= 20
		x := float64(n)
		var table *record.Table
		heap = append(heap, point{x, heapOf(func() any { table = recordTableOf(n); return table })})
		assert.Equal(t, table.Len(), n)
		data, err := table.EncodeSnapshot()
		assert.NilError(t, err)
		size = append(size, point{x, float64(len(data))})
		encode = append(encode, point{x, microsPerSecond * timeOf(func() { _, _ = table.EncodeSnapshot() })})
		claim, _ := record.EncodeCommand(record.Command{Claim: &record.Claim{Key: "audits/again", BodyHash: "b", Entry: "e", Attempt: "a", DeadlineMillis: 60_000, NowMillis: 3}})
		one = append(one, point{x, microsPerSecond * timeOf(func() { table.Apply(claim) })})
	}
	r := newReport(t, "At-most-once records, as tombstones without answers")
	r.add("memory", heap, "B")
	r.add("snapshot", size, "B")
	r.add("snapshot, encode", encode, "µs")
	r.add("apply a claim", one, "µs")
	r.print()
}

func measureDecisions(t *testing.T) {
	var pick, offer []point
	for _, n := range sizes() {
		picker := pickerOf(n / vmsPerGroup)
		request := placement.Request{ID: "r", Model: "memo-large", Prefix: []uint64{1, 2, 3}, Tokens: 400}
		c, ok := picker.Pick(epoch, request)
		assert.Assert(t, ok && c.ID != "")
		pick = append(pick, point{float64(n), microsPerSecond * timeOf(func() { picker.Pick(epoch, request) })})
	}
	for _, n := range sizes() {
		n *= 14
		queue, id := queueOf(t, n), 0
		offer = append(offer, point{float64(n), microsPerSecond * timeOf(func() {
			id++
			name := fmt.Sprint("x", id)
			queue.Offer(epoch, queued(name, id))
			queue.Cancel(name)
		})})
	}
	r := newReport(t, "Decisions of an entry: a pick against VMs in groups of eight, admission against waiting requests")
	r.add("pick a group", pick, "µs")
	r.add("queue a request and take it out", offer, "µs")
	r.print()
}

// pickerOf returns a picker with the given number of groups as targets.
func pickerOf(groups int) *placement.Picker {
	picker := placement.New(placement.Options{DataCentre: "cluj-a"})
	var targets []placement.Target
	for g := range groups {
		targets = append(targets, placement.Target{ID: fmt.Sprintf("memos-%d", g), Model: "memo-large", DataCentre: "cluj-a", FabricDomain: fmt.Sprintf("rack-%d", g), Capacity: 8000})
	}
	picker.SetTargets(epoch, targets)
	return picker
}

func queued(id string, n int) admission.Request {
	return admission.Request{
		ID: id, Workspace: fmt.Sprint("w", n%10), Class: fmt.Sprint("c", n%4), Model: "memo-large",
		Tokens: 400, Arrived: epoch, Deadline: epoch.Add(time.Hour),
	}
}

// queueOf returns an admission queue with n waiting requests.
func queueOf(t testing.TB, n int) *admission.Queue {
	queue := admission.New(admission.Policy{QueueRequests: 2 * n, WorkspaceQueueShare: 1})
	for i := range n {
		queue.Offer(epoch, queued(fmt.Sprint("q", i), i))
	}
	assert.Equal(t, queue.Stats().Waiting, n)
	return queue
}
