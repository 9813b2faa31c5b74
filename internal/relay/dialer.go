package relay

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
)

const (
	// dialTimeout bounds a dial through peers.
	dialTimeout = 250 * time.Millisecond
	// hedgeDelay is how long a peer may take before the next one is asked as well. A peer whose own
	// links are down without notice answers only after serverDialTimeout.
	hedgeDelay = 50 * time.Millisecond
	// maxPeersAsked bounds the peers that one dial asks.
	maxPeersAsked = 6
	// avoidTime is how long a peer that could not relay is asked only after the others.
	avoidTime = time.Second
)

// Peer is another entry.
type Peer struct {
	ID, Address, DataCentre string
}

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// Entry is the id of this entry and DataCentre the one that it is in.
	Entry, DataCentre string
	// Dial connects to a peer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Token authenticates this entry to its peers.
	Token string
}

// Dialer connects to backend servers through other entries.
type Dialer struct {
	o DialerOptions

	mu sync.Mutex
	// peers holds the other entries in the order in which this one asks them.
	peers []Peer
	// preferred is the peer that connected last; avoided holds until when peers that could not
	// relay are asked after the others.
	preferred string
	avoided   map[string]time.Time
}

// NewDialer returns a Dialer.
func NewDialer(o DialerOptions) *Dialer {
	return &Dialer{o: o, avoided: make(map[string]time.Time)}
}

// result is one peer's answer.
type result struct {
	peer    Peer
	conn    *Conn
	outcome Outcome
}

// Dial asks peers one after the other, and the next one early if a peer takes long, until one has
// connected to the backend server at address. request names the caller's request in the peers' logs.
func (d *Dialer) Dial(ctx context.Context, address, request string) (*Conn, error) {
	peers := d.candidates(time.Now())
	if len(peers) == 0 {
		return nil, errors.Trace(&DialError{cause: ErrNoPeer})
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan result, len(peers))
	answers, asked := newDialAnswers(peers), 0
	// Connections that are made after this call has returned are closed.
	defer func() { go closeLate(results, asked-len(answers.outcomes)) }()
	for {
		if asked < len(peers) {
			peer := peers[asked]
			asked++
			go func() { results <- d.ask(ctx, peer, address, request) }()
		}
		if r, ok := awaitResult(ctx, results); ok {
			answers.add(r)
			d.note(time.Now(), r)
			if r.conn != nil {
				return r.conn, nil
			}
		}
		if ctx.Err() != nil || answers.isComplete() {
			return nil, errors.Trace(answers.failure())
		}
	}
}

// awaitResult returns the next answer, or false if there is none within hedgeDelay.
func awaitResult(ctx context.Context, results <-chan result) (result, bool) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case r := <-results:
		return r, true
	case <-hedge.C:
	case <-ctx.Done():
	}
	return result{}, false
}

func closeLate(results <-chan result, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// ask asks one peer to connect.
func (d *Dialer) ask(ctx context.Context, peer Peer, address, request string) result {
	conn, err := d.o.Dial(ctx, "tcp", peer.Address)
	if err != nil {
		return result{peer: peer, outcome: OutcomeSilent}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	relayed, outcome := d.upgrade(conn, peer, address, request)
	if relayed == nil || !stop() {
		_ = conn.Close()
		return result{peer: peer, outcome: outcome}
	}
	return result{peer: peer, conn: relayed}
}

// upgrade sends the request for a relay and reads the peer's answer.
func (d *Dialer) upgrade(conn net.Conn, peer Peer, address, request string) (*Conn, Outcome) {
	target := url.URL{Scheme: "http", Host: peer.Address, Path: Path, RawQuery: url.Values{paramServer: {address}}.Encode()}
	r, err := http.NewRequest(http.MethodPost, target.String(), nil)
	if err != nil {
		return nil, OutcomeSilent
	}
	r.Header.Set("Authorization", "Bearer "+d.o.Token)
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", upgradeToken)
	r.Header.Set(headerEntry, d.o.Entry)
	r.Header.Set(headerRequest, request)
	if err := r.Write(conn); err != nil {
		return nil, OutcomeSilent
	}
	answer, reader, err := bounded.ReadHead(conn, r, readBuffer)
	if err != nil {
		return nil, OutcomeSilent
	}
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return newConn(conn, reader, peer.ID), ""
	}
	outcome := Outcome(answer.Header.Get(headerOutcome))
	if outcome == "" {
		outcome = OutcomeSilent
	}
	return nil, outcome
}
