package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
)

// linkCheckWait is how long a silence is not held against a group while this entry's own link to
// it is checked: longer than the check takes if a peer reaches the group's head. A report that is
// later by this much is still far earlier than the leader's own observation.
const linkCheckWait = 100 * time.Millisecond

// errLinkLost is the cause of an attempt that ends because this entry's link to a group is down.
const errLinkLost = errors.ConstError("the link to the group is down")

// linkState is what is known of this entry's link to the head of a silent group.
type linkState int

const (
	// linkUnchecked: the check has not ended yet.
	linkUnchecked linkState = iota
	// linkUp: nothing shows that the link is down, so that the silence is the group's.
	linkUp
	// linkDown: another entry reaches the head, and this one does not.
	linkDown
)

// linkCheck is one check of the link to a group's head.
type linkCheck struct {
	began time.Time
	// state is set once the check has ended.
	state linkState
}

// linkDuringSilence returns the state of the link to a silent group and begins to check it.
//
// Failure: the links of several entries to all backend servers go silent. They report all groups as
// stalled, and as they are witnesses of several data centres, the leader breaks sound groups.
func (s *Server) linkDuringSilence(now time.Time, k groupEpoch, p *groupProgress) linkState {
	if s.o.Prober == nil {
		return linkUp
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		p.link = &linkCheck{began: now}
		go s.checkLink(s.headAddress(k.group), p, p.link)
	}
	if p.link.state == linkUnchecked && now.Sub(p.link.began) >= linkCheckWait {
		return linkUp
	}
	return p.link.state
}

func (s *Server) checkLink(address string, p *groupProgress, check *linkCheck) {
	state := linkUp
	if s.o.Prober.ProbeListener(context.Background(), address).State == backend.ListeningToPeers {
		state = linkDown
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	check.state = state
}

// headAddress returns the address of a group's head, or "" if the board shows none.
func (s *Server) headAddress(group string) string {
	members := s.o.Follower.Board().Groups[group].Members
	if len(members) == 0 {
		return ""
	}
	return members[0].Address
}

// endAttemptsOnLink ends the attempts on a group whose link is down. They are made again through a
// peer, and the group stays in service.
func (s *Server) endAttemptsOnLink(k groupEpoch, p *groupProgress, silence time.Duration) {
	delete(s.progress, k)
	_ = level.Info(s.o.Logger).Log("event", "group_link_down", "group", k.group, "epoch", k.epoch, "silent_ms", silence.Milliseconds())
	s.updateRoutes()
	p.endAttempts(errLinkLost)
}
