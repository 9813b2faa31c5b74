package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// stallSuspension is how long this entry sends nothing new to a stalled group if the leader
	// does not break the group.
	stallSuspension = 3 * time.Second
	// stallReportTimeout is the time limit of a call that reports stalled groups to the leader.
	stallReportTimeout = time.Second
	// leastComparedGroups is the number of groups with streams from which their silences are compared.
	leastComparedGroups = 4
	// commonSilenceShare is the part of them whose silence at the same time probably has another cause than the
	// groups: this VM, the network, or the VMs of all groups stand still.
	commonSilenceShare = 0.75
	// commonSilenceLimit is how long a silence may last to be taken for such a standstill. The groups may be lost
	// after all.
	commonSilenceLimit = time.Second
)

// retireGroups ends the attempts on groups that are out of service, except those whose answers have
// begun. These go on while their group makes progress.
func (s *Server) retireGroups(groups []*groupProgress) {
	for _, p := range groups {
		p.retire()
	}
	s.retiredGroups = append(s.retiredGroups, groups...)
}

// checkRetired ends the attempts on groups that are out of service and have gone silent.
func (s *Server) checkRetired(now time.Time) {
	s.retiredGroups = slices.DeleteFunc(s.retiredGroups, (*groupProgress).isUnused)
	for _, p := range s.retiredGroups {
		if p.silentFor(now) > p.silenceLimit {
			p.endAttempts(errGroupLost)
		}
	}
}

// checkProgress reports groups to the leader whose streams have all gone silent, and suspends
// those that are certainly lost.
func (s *Server) checkProgress(now time.Time) {
	s.checkRetired(now)
	s.resumeGroups()
	silences, begun, silentCount := s.silentGroups(now)
	if s.noteCommonSilence(silentCount, begun, longest(silences)) {
		return
	}
	var silent []*noderpc.SuspectGroup
	var lost []groupEpoch
	for k, silence := range silences {
		p := s.progress[k]
		if p.isReportDue(silence) {
			silent = append(silent, &noderpc.SuspectGroup{Group: k.group, Epoch: k.epoch, SilentMs: silence.Milliseconds()})
		}
		if p.isLost(now) {
			lost = append(lost, k)
		}
	}
	s.suspendGroups(now, lost, silences)
	if len(silent) > 0 && s.o.StallReporter != nil {
		go s.reportStalls(silent)
	}
}

// silentGroups returns the groups whose streams have all been silent for longer than the limit although
// the link to them is up, with the lengths of their silences. begun is the number of groups with streams, count that
// of all silent ones. It ends the attempts on groups whose link is down.
func (s *Server) silentGroups(now time.Time) (silences map[groupEpoch]time.Duration, begun, count int) {
	silences = make(map[groupEpoch]time.Duration)
	for k, p := range s.progress {
		if !p.hasStreams() {
			continue
		}
		begun++
		silence := p.silentFor(now)
		if silence <= p.silenceLimit {
			continue
		}
		count++
		switch s.linkDuringSilence(now, k, p) {
		case linkUnchecked:
		case linkDown:
			s.endAttemptsOnLink(k, p, silence)
		case linkUp:
			silences[k] = silence
		}
	}
	return silences, begun, count
}

// noteCommonSilence reports whether nearly all groups with streams have just become silent, and logs when that
// begins and ends. length is the length of the longest silence.
//
// Load: all streams of an entry stop for a moment. Harm of holding that against the groups: the leader breaks
// all of them, and all answers begin anew at the same time.
func (s *Server) noteCommonSilence(silent, begun int, length time.Duration) bool {
	isCommon := begun >= leastComparedGroups && float64(silent) >= commonSilenceShare*float64(begun) && length < commonSilenceLimit
	if isCommon != s.isSilenceCommon {
		s.isSilenceCommon = isCommon
		_ = level.Info(s.o.Logger).Log("event", "common_silence", "is_common", isCommon, "silent", silent, "groups", begun)
	}
	return isCommon
}

// longest returns the longest silence.
func longest(silences map[groupEpoch]time.Duration) time.Duration {
	var length time.Duration
	for _, silence := range silences {
		length = max(length, silence)
	}
	return length
}

// suspendGroups ends this entry's attempts on groups, as far as others can be made, and sends these groups
// nothing new for stallSuspension.
func (s *Server) suspendGroups(now time.Time, groups []groupEpoch, silences map[groupEpoch]time.Duration) {
	if len(groups) == 0 {
		return
	}
	suspended := make([]*groupProgress, 0, len(groups))
	for _, k := range groups {
		p := s.progress[k]
		p.suspendUntil(now.Add(stallSuspension))
		suspended = append(suspended, p)
		_ = level.Info(s.o.Logger).Log("event", "group_stalled", "group", k.group, "epoch", k.epoch, "silent_ms", silences[k].Milliseconds())
	}
	s.updateRoutes()
	for _, p := range suspended {
		p.endAttempts(errGroupLost)
	}
}

// resumeGroups sends new requests again to groups whose streams have gone on during their suspension.
func (s *Server) resumeGroups() {
	isAny := false
	for k, p := range s.progress {
		if p.takeResumed() {
			isAny = true
			_ = level.Info(s.o.Logger).Log("event", "group_resumed", "group", k.group, "epoch", k.epoch)
		}
	}
	if isAny {
		s.updateRoutes()
	}
}

// reportStalls reports stalled groups to the leader once. If the call is lost, the leader
// notices the member's silence itself, only later.
func (s *Server) reportStalls(groups []*noderpc.SuspectGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), stallReportTimeout)
	defer cancel()
	err := s.o.StallReporter.Suspect(ctx, &noderpc.SuspectRequest{
		ClusterId: s.o.Follower.Board().ClusterID, EntryId: s.o.ID, Groups: groups,
	})
	if err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "stall_report_failed", "err", err)
	}
}
