package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/record"
)

// holderState is what the entry that holds a claim says of the request.
type holderState string

const (
	// holderSilent: no reply, or none that says anything. The request may be running.
	holderSilent holderState = "silent"
	// holderHas: the holder runs the request, or still writes its record.
	holderHas holderState = "has"
	// holderLost: the process that ran the request is gone, or has given up writing its record
	// and keeps the answer no longer.
	holderLost holderState = "lost"
)

// checkHolder makes a claim that another attempt holds final if that attempt is known to be lost.
//
// Failure: an entry dies with claims. Callers that resend are answered in_progress until their
// requests' deadlines have passed, although nothing runs.
//
// The claim is read again after the holder was asked: in between, the holder may have written its
// record and dropped the request. The first reading proves that the holder knew the request by
// then, as a request is known before it is claimed.
func (s *Server) checkHolder(j *job, held record.Outcome) record.Outcome {
	if held.Granted || held.State != record.Claimed || held.Attempt == "" {
		return held
	}
	state := s.askHolder(j, held.Entry)
	if state != holderLost {
		return held
	}
	ctx, cancel := context.WithTimeout(j.ctx, claimTimeout)
	defer cancel()
	now, err := s.commitRecord(ctx, s.claimCommand(j, time.Now()))
	if err != nil {
		j.lines.Info("event", "claim_unread", "request", j.id, "holder", held.Entry, "err", err)
		return held
	}
	if now.Granted || now.State != record.Claimed || now.Attempt != held.Attempt {
		return now
	}
	s.recordLost(j, now)
	now.State = record.Unknown
	return now
}

// recordLost records that the outcome of another attempt is unknown. It tries once: the next
// resend does the same. A late answer of that attempt is still accepted.
func (s *Server) recordLost(j *job, held record.Outcome) {
	out, err := s.tryRecord(record.Command{Finish: &record.Finish{Key: j.key, Attempt: held.Attempt, NowMillis: time.Now().UnixMilli()}})
	j.lines.Info("event", "claim_lost", "request", j.id, "holder", held.Entry, "attempt", held.Attempt,
		"granted", out.Granted, "state", out.State, "err", errText(err))
}

// askHolder asks the entry that holds a claim whether it has the request.
func (s *Server) askHolder(j *job, holder string) holderState {
	if holder == s.o.ID {
		// The job that holds the claim would have been found by its key before this job began.
		if s.withdrawals.has(j.key) {
			return holderHas
		}
		return holderLost
	}
	entry, ok := s.o.Follower.Board().Entries[holder]
	if !ok {
		// The board of this entry may be older than the holder's registration.
		return holderSilent
	}
	ctx, cancel := context.WithTimeout(j.ctx, homeTimeout)
	defer cancel()
	address := "http://" + entry.PeerAddress + PathAnswers + "?key=" + url.QueryEscape(j.key)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return holderSilent
	}
	response, err := bounded.Client(s.o.Peers, maxRefusalBytes, s.o.Logger).Do(request)
	if err != nil {
		return holderStateOfError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return holderStateOfResponse(response)
}

// holderStateOfError returns the state of a holder that could not be asked. A host that refuses
// connections at the address runs, and no process listens there: an entry listens for its peers
// until its last job has ended.
func holderStateOfError(err error) holderState {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return holderLost
	}
	return holderSilent
}

// maxRefusalBytes is the most that is read of a holder's refusal.
const maxRefusalBytes = 4 << 10

// holderStateOfResponse tells an entry that does not have the request from any other server that
// may listen at the address.
func holderStateOfResponse(r *http.Response) holderState {
	if r.StatusCode == http.StatusOK {
		return holderHas
	}
	var refusal failure.Body
	err := json.NewDecoder(io.LimitReader(r.Body, maxRefusalBytes)).Decode(&refusal)
	if err != nil || refusal.Error == nil {
		return holderSilent
	}
	switch refusal.Error.Type {
	case failure.TypeNotFound:
		return holderLost
	case failure.TypeInProgress:
		return holderHas
	}
	return holderSilent
}
