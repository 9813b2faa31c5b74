package entry

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// boardChanges are changes of the board that concern a running answer, but not its backend server.
var boardChanges = map[string]func(x *soundSystem){
	"a snapshot in place of commands": func(x *soundSystem) { x.change(func(*blackboard.Board) {}) },
	"its routes are dropped": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Routes = 2, nil
		x.replace(c)
	},
	"its routes move to another service": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version = 2
		for i := range c.Routes {
			c.Routes[i].Backends[0].Service = "other"
		}
		x.replace(c)
	},
	"its routes need a key and may not be repeated": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version = 2
		for i := range c.Routes {
			c.Routes[i].Public, c.Routes[i].Kind, c.Routes[i].Resumable, c.Routes[i].MaxAttempts = false, blackboard.RouteNonIdempotent, false, 1
			c.Routes[i].TimeoutMillis = 1
		}
		x.replace(c)
	},
	"its service is dropped": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Routes, c.Services = 2, nil, c.Services[1:]
		x.replace(c)
	},
	"its key is withdrawn": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Workspaces[0].MoreKeysSHA256 = 2, c.Workspaces[1].MoreKeysSHA256
		c.Workspaces = c.Workspaces[:1]
		x.replace(c)
	},
	"its workspace is dropped": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Workspaces = 2, c.Workspaces[1:]
		x.replace(c)
	},
	"the quota of its workspace is used up": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Workspaces[0].MaxOpen = 2, 1
		x.replace(c)
	},
	"the limits for callers shrink": func(x *soundSystem) {
		c := soundConfiguration()
		c.Version, c.Limits = 2, blackboard.CallerLimits{MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeoutMillis: 1, IdleTimeoutMillis: 1}
		x.replace(c)
	},
	"other entries start": func(x *soundSystem) {
		x.change(func(b *blackboard.Board) {
			for i := range 20 {
				id := fmt.Sprint("e", i)
				b.Entries[id] = blackboard.Entry{ID: id, Address: id}
			}
		})
	},
	"its data centre is evacuated": func(x *soundSystem) {
		x.change(func(b *blackboard.Board) {
			g := b.Groups[x.servers.last().group()]
			g.DataCentre = "evacuated"
			b.Groups[g.ID], b.Evacuations[g.DataCentre] = g, blackboard.Evacuation{Revision: 1}
		})
	},
	"its backend server is leaving": func(x *soundSystem) {
		x.change(func(b *blackboard.Board) {
			id := x.servers.last().group()
			b.VMs[id] = blackboard.VM{ID: id, Leaving: true}
		})
	},
	"its group is in quarantine": func(x *soundSystem) {
		x.change(func(b *blackboard.Board) {
			b.Quarantines["m"] = blackboard.Quarantine{Target: x.servers.last().group(), Entry: "another", UntilMillis: time.Now().Add(time.Minute).UnixMilli()}
		})
	},
	"groups that run nothing are broken": func(x *soundSystem) {
		x.change(func(b *blackboard.Board) {
			busy := make(map[string]bool)
			for _, r := range x.servers.open() {
				busy[r.group()] = true
			}
			for id, g := range maps.Clone(b.Groups) {
				if !busy[id] {
					g.State = blackboard.Broken
					b.Groups[id] = g
				}
			}
		})
	},
}

// Guards against a changed board that ends answers whose backend servers go on.
func TestChangedBoardEndsNoSoundAnswer(t *testing.T) {
	for name, change := range boardChanges {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 0)
				callers := []*soundCaller{x.begin("stream"), x.begin("single"), x.begin("keyed")}
				change(x)
				x.apply()
				x.pass(100 * time.Millisecond)
				x.finish(callers...)
			})
		})
	}
}

// Guards against a changed board that keeps an answer whose backend server crashes from going on at another.
func TestAnswerGoesOnElsewhereAfterAChangedBoard(t *testing.T) {
	for name, change := range boardChanges {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 5000)
				callers := []*soundCaller{x.begin("stream"), x.begin("keyed")}
				change(x)
				x.apply()
				for _, r := range x.servers.open() {
					r.breakOff()
				}
				x.pass(100 * time.Millisecond)
				x.finish(callers...)
			})
		})
	}
}

// Guards against a drain of a group that ends the answers in it.
func TestDrainingGroupEndsNoSoundAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		callers := append(x.beginMany("stream", 3), x.beginMany("single", 3)...)
		x.moveGroups(allGroups, blackboard.Draining)
		x.apply()
		x.pass(100 * time.Millisecond)
		x.finish(callers...)
	})
}

// Guards against a standstill of the process that is taken for a silence of all groups.
func TestStandstillEndsNoSoundAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		callers := append(x.beginMany("stream", 4), x.beginMany("single", 4)...)
		time.Sleep(1100 * time.Millisecond)
		x.s.checkProgress(time.Now())
		for _, r := range x.servers.open() {
			r.send()
		}
		synctest.Wait()
		x.pass(100 * time.Millisecond)
		x.finish(callers...)
	})
}
