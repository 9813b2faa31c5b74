//go:build review

package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	// engineCount is the number of engines, of which firstDomain are in the first domain.
	engineCount = 14
	firstDomain = 8
	// leastLate and mostLate bound how late an order is carried out.
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
	// harmlessLate is how late the orders are carried out whose groups stand.
	harmlessLate = 3 * time.Second
)

// headOrders are the orders to one head that got no answer.
type headOrders struct {
	// group is the first order to join a group of which the engine is the head.
	group order
	// join and open are its first orders to join and to open that group, next the first to join another group.
	join, open, next *order
	isOpened         bool
}

// lateOrders is what the stand-ins do with orders that they leave unanswered.
type lateOrders struct {
	e     *environment
	mu    sync.Mutex
	heads map[*engine]*headOrders
	// target is the head whose old orders are carried out after it has left its group.
	target *engine
}

// leavesUnanswered: of each head in the first domain, the first order to join its group and the first one to open it
// get no answer; of the target also the orders to join another group.
func (l *lateOrders) leavesUnanswered(g *engine, o order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != nil && l.target != g {
		return false
	}
	h := l.heads[g]
	if o.Op == "join" && o.Members[0] == g.id && (h == nil || !h.isOpened) && (h == nil || h.group.Epoch != o.Epoch) {
		h = &headOrders{group: o}
		l.heads[g] = h
	}
	if h == nil {
		return false
	}
	isFirstGroup := o.Group == h.group.Group && o.Epoch == h.group.Epoch
	switch {
	case o.Op == "join" && isFirstGroup && h.join == nil:
		h.join = &o
		return true
	case o.Op == "open" && isFirstGroup && h.open == nil:
		h.open = &o
		return true
	case o.Op != "join" || isFirstGroup || l.target != g:
		return false
	case h.next == nil:
		h.next = &o
		go l.carryOut(g, *h.join, *h.open, o)
	default:
		time.AfterFunc(harmlessLate, func() { g.applyLate(o) })
	}
	return true
}

func (l *lateOrders) opened(g *engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.heads[g]; h != nil {
		h.isOpened = true
	}
}

// carryOut carries the late orders out: the old ones first, and the new one when the head serves in its old group.
func (l *lateOrders) carryOut(g *engine, join, open, next order) {
	at := next.at.Add(leastLate - formTime - rejoinTime + 20*time.Millisecond)
	if at.Add(time.Second).Sub(join.at) > mostLate {
		l.e.record.now("the old orders of runner %s are too old to be carried out", g.id)
		time.Sleep(time.Until(next.at.Add(leastLate)))
		g.applyLate(next)
		return
	}
	time.Sleep(time.Until(at))
	g.applyLate(join)
	time.Sleep(rejoinTime + 10*time.Millisecond)
	var once sync.Once
	g.mu.Lock()
	g.onOpen = func(*engine) { once.Do(func() { g.applyLate(next) }) }
	g.mu.Unlock()
	g.applyLate(open)
}

// lateOrdersOfEarlierLeader: orders to engines are left unanswered and carried out late. The leader is killed, and a
// member of each of two groups crashes. The next leader knows nothing of the late orders.
func lateOrdersOfEarlierLeader(e *environment) (bool, error) {
	c := e.cluster
	l := &lateOrders{e: e, heads: make(map[*engine]*headOrders)}
	if err := c.configure(poolText(1), waitForServe); err != nil {
		return false, err
	}
	e.record.now("the configuration is acknowledged")
	time.Sleep(2 * time.Second)
	leader := c.leader(c.controls)
	if leader == nil {
		return false, fmt.Errorf("no control machine leads")
	}
	e.record.now("%s leads", leader.name)
	var engines []*engine
	for i := range engineCount {
		g := &engine{id: fmt.Sprintf("i-e%02d", i), domain: fmt.Sprint(i / firstDomain), zone: zones[i/firstDomain], controls: c.controlAddresses(), record: e.record}
		if e.trouble && i < firstDomain {
			g.leavesUnanswered, g.onOpen = l.leavesUnanswered, l.opened
		}
		if err := g.start(); err != nil {
			return false, err
		}
		defer g.stop()
		engines = append(engines, g)
	}
	if e.trouble {
		if err := l.loseLeaderAndMembers(leader, engines); err != nil {
			return false, err
		}
	}
	time.Sleep(14 * time.Second)
	broken, orders, unanswered, open := 0, 0, 0, 0
	for _, g := range engines {
		g.mu.Lock()
		broken, orders, unanswered = broken+len(g.brokenBy), orders+g.orders, unanswered+g.unanswered
		if g.state == "open" {
			open++
		}
		g.mu.Unlock()
	}
	fmt.Printf("%d orders, %d left unanswered; %d groups open at the end; %d joins of another group taken by the open head of a group\n", orders, unanswered, open, broken)
	if open == 0 {
		return false, fmt.Errorf("no group serves")
	}
	return broken == 0, nil
}

// awaitHeads waits until the groups of the first domain are open, and returns their heads in the order of the names.
func (l *lateOrders) awaitHeads() ([]*engine, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.mu.Lock()
		var heads []*engine
		for g, h := range l.heads {
			if h.isOpened && h.join != nil && h.open != nil {
				heads = append(heads, g)
			}
		}
		sort.Slice(heads, func(i, j int) bool { return l.heads[heads[i]].group.Group < l.heads[heads[j]].group.Group })
		l.mu.Unlock()
		if len(heads) == firstDomain/2 {
			return heads, nil
		}
	}
	return nil, fmt.Errorf("the groups of the first domain did not open")
}

// loseLeaderAndMembers kills the leader and makes the second members of two groups crash: those of the first and of the
// last name in the domain. The head of the last one is the target.
func (l *lateOrders) loseLeaderAndMembers(leader *process, engines []*engine) error {
	heads, err := l.awaitHeads()
	if err != nil {
		return err
	}
	first, target := heads[0], heads[len(heads)-1]
	l.mu.Lock()
	l.target = target
	lost := []string{l.heads[first].group.Members[1], l.heads[target].group.Members[1]}
	for g, h := range l.heads {
		if g != target && g != first && h.join != nil && h.open != nil {
			join, open := *h.join, *h.open
			time.AfterFunc(time.Until(open.at.Add(harmlessLate)), func() { g.applyLate(join); g.applyLate(open) })
		}
	}
	l.mu.Unlock()
	leader.signal(syscall.SIGKILL)
	<-leader.exited
	l.e.record.now("%s, which leads, is killed", leader.name)
	for _, g := range engines {
		if g.id == lost[0] || g.id == lost[1] {
			g.crash(time.Second)
		}
	}
	time.Sleep(time.Second)
	l.e.record.now("%s starts again", leader.name)
	return l.e.cluster.start(leader, false)
}
