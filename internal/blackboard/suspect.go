package blackboard

// Suspect is a request, identified by its fingerprint, that was in flight on backend servers
// when they crashed. Written by: entries, through ReportCrash. Read by: entries, which run a
// suspect alone and refuse it once IsAttributed reports true.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes counts the distinct backend server incarnations that crashed while the request was
	// in flight.
	Crashes int `json:"crashes"`
	// Alone counts those that crashed while no other request was in flight on them.
	Alone        int      `json:"alone"`
	Incarnations []string `json:"incarnations"`
	LastMillis   int64    `json:"last_ms"`
}

// IsAttributed reports whether crashes are attributed to the request. The request must have been in
// flight in two crashes, one of them without other requests, or in three crashes.
func (s Suspect) IsAttributed() bool {
	const maxCrashes = 3
	return (s.Alone >= 1 && s.Crashes >= 2) || s.Crashes >= maxCrashes
}

// maxSuspects bounds the table. The suspect whose last crash is the oldest is removed first.
const maxSuspects = 2048

// ReportCrash counts one crash for each request that was in flight.
type ReportCrash struct {
	// Fingerprints identify the requests that the reporting entry had in flight.
	Fingerprints []string `json:"fingerprints"`
	Incarnation  string   `json:"incarnation"`
	// Alone states that a single request was in flight on the backend server.
	Alone     bool  `json:"alone"`
	NowMillis int64 `json:"now_ms"`
}

func (c ReportCrash) apply(d *draft) (any, bool) {
	suspects := cloneMap(d.Suspects)
	changed := false
	for _, f := range c.Fingerprints {
		s := suspects[f]
		if contains(s.Incarnations, c.Incarnation) {
			continue
		}
		s.Fingerprint = f
		s.Crashes++
		if c.Alone {
			s.Alone++
		}
		s.Incarnations = append(append([]string(nil), s.Incarnations...), c.Incarnation)
		s.LastMillis = c.NowMillis
		suspects[f] = s
		changed = true
	}
	if !changed {
		return refused("counted already")
	}
	for len(suspects) > maxSuspects {
		delete(suspects, oldestSuspect(suspects))
	}
	d.Suspects = suspects
	return applied()
}

func oldestSuspect(suspects map[string]Suspect) string {
	oldest := ""
	for _, f := range sortedKeys(suspects) {
		if oldest == "" || suspects[f].LastMillis < suspects[oldest].LastMillis {
			oldest = f
		}
	}
	return oldest
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// ForgetSuspect removes a suspect that finished successfully alone, or whose last crash was long
// ago.
type ForgetSuspect struct {
	Fingerprint string `json:"fingerprint"`
}

func (c ForgetSuspect) apply(d *draft) (any, bool) {
	if _, ok := d.Suspects[c.Fingerprint]; !ok {
		return refused("no suspect")
	}
	d.Suspects = cloneMap(d.Suspects)
	delete(d.Suspects, c.Fingerprint)
	return applied()
}
