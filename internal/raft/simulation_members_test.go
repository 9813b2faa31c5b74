package raft

// manageMembership proposes the next membership change if p leads. A VM that is no member
// requests to join whenever its messages can reach the leader.
func (w *simCluster) manageMembership(p *simProcess) {
	s := p.node.Status()
	if s.Role != RoleLeader || !s.OwnTermCommitted || s.MembershipIndex > s.Commit {
		return
	}
	var requests []Member
	for _, vm := range w.vms {
		if vm.proc == nil || vm.proc.frozenUntil > w.now || w.blocked(vm.name, p.vm.name) {
			continue
		}
		if _, ok := s.Membership.Find(vm.disk.id); !ok && !w.hasActiveMember(p, s, vm) {
			requests = append(requests, Member{ID: vm.disk.id, VM: vm.name, DataCentre: vm.dataCentre})
		}
	}
	next, reason := NextMembership(p.node.MembershipView(w.wanted, requests))
	if reason == "" {
		return
	}
	if _, err := p.node.ProposeMembership(next); err == nil {
		w.counts["membership changes"]++
	}
}

// hasActiveMember reports whether the VM has an active member under another identity.
func (w *simCluster) hasActiveMember(p *simProcess, s Status, vm *simVM) bool {
	for _, m := range s.Membership.Members {
		if m.VM == vm.name && m.ID != vm.disk.id && p.node.IsActive(m.ID) {
			return true
		}
	}
	return false
}
