package control

import (
	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// present returns the brief's two measures as the board shows them now.
func present(b *blackboard.Board) adminapi.Measures {
	var m adminapi.Measures
	wanted := 0
	for name := range b.Config.Groups {
		wanted += b.Config.GroupReplicas(name)
	}
	serving := 0
	for _, g := range b.Groups {
		if g.State.Routable() {
			serving++
		}
	}
	m.GroupsDown = max(0, wanted-serving)
	for _, v := range b.VMs {
		g, ok := b.Groups[v.Group]
		working := ok && g.Epoch == v.Epoch && g.State.Routable()
		if v.Liveness != blackboard.Dead && !working {
			m.StrandedAccelerators += v.Accelerators
		}
	}
	return m
}
