package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetPeers sets the other entries that may relay for this one.
//
// Each entry has an order of its own, so that many entries whose links are down spread over the
// others. Peers of its data centre and of others alternate: those nearby are cheapest, and the
// first to have lost their links as well.
func (d *Dialer) SetPeers(peers []Peer) {
	var near, far []Peer
	for _, p := range peers {
		if p.DataCentre == d.o.DataCentre {
			near = append(near, p)
			continue
		}
		far = append(far, p)
	}
	ordered := alternate(d.sorted(near), d.sorted(far))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = ordered
}

// sorted sorts peers by a hash of the two entries' ids.
func (d *Dialer) sorted(peers []Peer) []Peer {
	weight := func(p Peer) uint64 { return xxhash.Sum64String(d.o.Entry + "\x00" + p.ID) }
	slices.SortFunc(peers, func(a, b Peer) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
	return peers
}

func alternate(a, b []Peer) []Peer {
	out := make([]Peer, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// candidates returns the peers that one dial asks: the one that connected last, then the others in
// order, and those that could not relay of late only if there are too few others.
func (d *Dialer) candidates(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first, usual, avoided []Peer
	for _, p := range d.peers {
		switch {
		case now.Before(d.avoided[p.ID]):
			avoided = append(avoided, p)
		case p.ID == d.preferred:
			first = append(first, p)
		default:
			usual = append(usual, p)
		}
		if len(first) > 0 && len(usual) >= maxPeersAsked {
			break
		}
	}
	list := slices.Concat(first, usual, avoided)
	return list[:min(len(list), maxPeersAsked)]
}

// note takes in a peer's answer. A peer that reached no process at the address may relay to other
// backend servers.
func (d *Dialer) note(now time.Time, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case r.conn != nil:
		d.preferred = r.peer.ID
		delete(d.avoided, r.peer.ID)
	case r.outcome == OutcomeRefused || r.outcome == OutcomeUnknown:
	default:
		d.avoid(now, r.peer.ID)
	}
}

// avoid records a peer that could not relay, and forgets those of earlier. The caller holds the
// lock.
func (d *Dialer) avoid(now time.Time, id string) {
	for other, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, other)
		}
	}
	d.avoided[id] = now.Add(avoidTime)
}
