package admission

import (
	"math/bits"
	"time"
)

// rateWindow is the time over which completions and arrivals are counted. A shorter window holds
// too few long requests to give a rate. With a longer window, the loss of backend servers would
// be noticed only after the callers' deadlines.
const rateWindow = time.Second

// rateSmoothing is the weight of the newest window. A smoothed rate follows half of a change
// after two windows.
const rateSmoothing = 0.3

// minArrivalRate is the rate, in tokens a second, above which a band counts as in use. A band
// that had one lookup ten seconds ago is at about this rate.
const minArrivalRate = 1

// arrivalRate is a smoothed rate of arrivals in tokens a second.
type arrivalRate struct {
	perSecond    float64
	windowTokens int
}

func (r *arrivalRate) add(tokens int) { r.windowTokens += tokens }

func (r *arrivalRate) endWindow(elapsed time.Duration) {
	observed := float64(r.windowTokens) / elapsed.Seconds()
	r.perSecond += rateSmoothing * (observed - r.perSecond)
	r.windowTokens = 0
}

// serviceRate is the smoothed number of tokens a second that the backend servers complete for
// this entry while requests wait.
type serviceRate struct {
	perSecond    float64
	windowTokens int
}

func (r *serviceRate) addCompleted(tokens int) { r.windowTokens += tokens }

// endWindow ends a window and updates the rate. The rate decreases only after a window in which
// requests waited all the time: with an empty queue, few completions mean few arrivals and not a
// lack of capacity. A window without any completion is skipped because it shows an outage. A rate
// of zero would make the entry refuse all requests after the outage.
func (r *serviceRate) endWindow(elapsed time.Duration, busy bool) {
	observed := float64(r.windowTokens) / elapsed.Seconds()
	r.windowTokens = 0
	if observed == 0 {
		return
	}
	switch {
	case r.perSecond == 0 && busy:
		r.perSecond = observed
	case busy, observed > r.perSecond && r.perSecond > 0:
		r.perSecond += rateSmoothing * (observed - r.perSecond)
	}
}

// tick ends the current rate window once it has lasted for rateWindow.
func (m *modelQueue) tick(now time.Time) {
	if m.windowStart.IsZero() {
		m.windowStart = now
		return
	}
	elapsed := now.Sub(m.windowStart)
	if elapsed < rateWindow {
		return
	}
	m.windowStart = now
	m.serviceRate.endWindow(elapsed, m.sawFullServers && m.waiting > 0)
	m.sawFullServers = false
	m.prune(now)
	m.topWorth = 0
	for _, b := range m.bands {
		b.arrivals.endWindow(elapsed)
		if b.arrivals.perSecond > minArrivalRate {
			m.topWorth = max(m.topWorth, b.worth)
		}
	}
}

// sizeClassCount is the number of size classes of serviceTime. The classes are divided at powers
// of two tokens.
const sizeClassCount = 24

// Weights of a new sample, as in the retransmission timers of TCP (RFC 6298): an eighth for the
// mean and a quarter for the deviation.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// estimateDeviations is the number of mean deviations added to the mean, so that about 9 in
	// 10 requests end within the estimate.
	estimateDeviations = 1.5
	// marginDeviations is the number of mean deviations added as a margin for a request that has
	// to wait, so that few waiting requests are late in the end. Under steady overload, all
	// requests wait for as long as admission allows.
	marginDeviations = 2
)

// estimateProbeInterval is how long after the last answer, or the last probe, an estimate that refuses all requests is
// probed by one.
const estimateProbeInterval = time.Second

// serviceTime estimates how long requests take on a backend server, by their size.
type serviceTime struct {
	mean      [sizeClassCount]float64
	deviation [sizeClassCount]float64
	// checkedAt is when the last answer was observed or the last probe was sent.
	checkedAt [sizeClassCount]time.Time
}

// takeProbe reports whether a request that the estimate refuses is to be admitted, as no answer has corrected the
// estimate for a while.
//
// Failure: the process stands still for a minute while the first request of its kind runs. All requests after it are
// refused, as none can be answered in a minute, and no answer ever tells otherwise.
func (s *serviceTime) takeProbe(now time.Time, tokens int) bool {
	i := s.observedClass(tokens)
	if i < 0 || now.Sub(s.checkedAt[i]) < estimateProbeInterval {
		return false
	}
	s.checkedAt[i] = now
	return true
}

// observedClass returns the size class whose observations estimate a request of some tokens: its own, or the next smaller
// one that has any; -1 if none has.
func (s *serviceTime) observedClass(tokens int) int {
	i := sizeClass(tokens)
	for i >= 0 && s.mean[i] == 0 {
		i--
	}
	return i
}

func sizeClass(tokens int) int {
	return min(bits.Len(uint(tokens)), sizeClassCount-1)
}

func (s *serviceTime) observe(now time.Time, tokens int, elapsed time.Duration) {
	i := sizeClass(tokens)
	s.checkedAt[i] = now
	seconds := elapsed.Seconds()
	if s.mean[i] == 0 {
		s.mean[i] = seconds
		return
	}
	difference := seconds - s.mean[i]
	s.mean[i] += meanWeight * difference
	if difference < 0 {
		difference = -difference
	}
	s.deviation[i] += deviationWeight * (difference - s.deviation[i])
}

// serviceEstimate is the estimated service time of a request. All fields are 0 if no request of
// its size or a smaller size has been observed; a request of unknown service time is admitted.
type serviceEstimate struct {
	// About 9 in 10 requests take longer than lower, and about 9 in 10 end within upper.
	lower, upper time.Duration
	// margin is added to upper if the request has to wait.
	margin time.Duration
}

func (s *serviceTime) estimate(tokens int) serviceEstimate {
	i := s.observedClass(tokens)
	if i < 0 {
		return serviceEstimate{}
	}
	halfWidth := estimateDeviations * s.deviation[i]
	return serviceEstimate{
		lower:  fromSeconds(max(0, s.mean[i]-halfWidth)),
		upper:  fromSeconds(s.mean[i] + halfWidth),
		margin: fromSeconds(marginDeviations * s.deviation[i]),
	}
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
