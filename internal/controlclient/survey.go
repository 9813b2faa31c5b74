package controlclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// errNoMajority is returned if the context ends before a majority has replied.
const errNoMajority = errors.ConstError("no majority of the control processes holds a configuration, and none knows a leader")

// LastKnown returns the newest state that the control processes report. It calls one process
// after the other, and repeats the calls until enough have replied or the context ends. The
// reply either names the leader, which gets the next call, or holds the newest board of a
// majority.
//
// Failure: the only process that is called was absent for a long time, and callers are served
// under an outdated configuration. An acknowledged configuration is on the disks of a majority.
// So any majority has a process that holds it, although that process may not know yet that it
// is committed. The processes that the settings name may be the very ones whose disks were
// lost. Any process that replies names the others.
func (c *Client) LastKnown(ctx context.Context) (*noderpc.LastKnownReply, error) {
	best, err := c.survey(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if best.reply.LeaderAddress != "" {
		c.setLeader(best.reply.LeaderAddress)
		return best.reply, nil
	}
	reply, err := c.clientFor(best.address).LastKnown(ctx, &noderpc.LastKnownRequest{Board: true})
	return reply, errors.Trace(toFailure(err))
}

// lastKnown is the reply of one control process.
type lastKnown struct {
	address string
	reply   *noderpc.LastKnownReply
}

// survey calls one process, and one more after each step, until the replies suffice.
func (c *Client) survey(ctx context.Context) (lastKnown, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan lastKnown)
	tally := newTally(shuffled(c.allAddresses()))
	unasked, pace := tally.known, pace{}
	widen := time.NewTimer(0)
	defer widen.Stop()
	for {
		select {
		case <-widen.C:
			if len(unasked) > 0 {
				go c.askRepeatedly(ctx, unasked[0], answers)
				unasked = unasked[1:]
			}
			widen.Reset(pace.step(len(tally.known)))
		case a := <-answers:
			pace.observe(a.reply)
			unasked = append(unasked, tally.setMembers(a.reply.ControlAddresses)...)
			if best, ok := tally.add(a); ok {
				return best, nil
			}
		case <-ctx.Done():
			return lastKnown{}, errors.Trace(failure.New(failure.TypeUnavailable, errNoMajority.Error()).WithRan(failure.RanNo))
		}
	}
}

// shuffled returns the addresses in random order, so that entries start with different
// processes.
func shuffled(addresses []string) []string {
	out := slices.Clone(addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// askRepeatedly calls one control process until the context ends, and sends each reply to
// answers.
func (c *Client) askRepeatedly(ctx context.Context, address string, answers chan<- lastKnown) {
	var pace pace
	for ctx.Err() == nil {
		reply, err := c.askOnce(ctx, address, pace.timeout())
		if err == nil {
			pace.observe(reply)
			select {
			case answers <- lastKnown{address, reply}:
			case <-ctx.Done():
			}
		}
		select {
		case <-time.After(pace.pause(err)):
		case <-ctx.Done():
		}
	}
}

func (c *Client) askOnce(ctx context.Context, address string, timeout time.Duration) (*noderpc.LastKnownReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := c.clientFor(address).LastKnown(ctx, &noderpc.LastKnownRequest{})
	if err != nil && ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	return reply, errors.Trace(err)
}

// tally collects the replies of one survey.
type tally struct {
	// known are the control processes: those from the settings until hasMembers is set, then
	// the members of the cluster.
	known      []string
	hasMembers bool
	latest     map[string]lastKnown
}

func newTally(known []string) *tally {
	return &tally{known: slices.Clone(known), latest: make(map[string]lastKnown)}
}

// setMembers sets the control processes of the cluster, once. It returns the processes that
// have not been called.
func (p *tally) setMembers(members []string) (fresh []string) {
	if p.hasMembers || len(members) == 0 {
		return nil
	}
	for _, address := range members {
		if !slices.Contains(p.known, address) {
			fresh = append(fresh, address)
		}
	}
	p.known, p.hasMembers = slices.Clone(members), true
	return fresh
}

// add records a reply and returns the decisive one, if there is one: a reply that names a
// leader, or else the newest board of a majority.
func (p *tally) add(a lastKnown) (lastKnown, bool) {
	if a.reply.LeaderAddress != "" {
		return a, true
	}
	p.latest[a.address] = a
	var best lastKnown
	holders := 0
	for _, address := range p.known {
		held, ok := p.latest[address]
		if !ok || held.reply.Revision == 0 {
			continue
		}
		holders++
		if best.reply == nil || held.reply.Revision > best.reply.Revision {
			best = held
		}
	}
	return best, holders > len(p.known)/2
}
