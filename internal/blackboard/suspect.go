package blackboard

// Suspect is a request, by fingerprint, that was in flight on backend servers
// when they crashed. Written by: entries through ReportCrash. Read by: entries,
// which run a suspect alone and refuse it after its second crash alone.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes counts the distinct backend incarnations that died under it.
	Crashes int `json:"crashes"`
	// Alone counts those that died while it ran alone.
	Alone        int      `json:"alone"`
	Incarnations []string `json:"incarnations"`
	LastMillis   int64    `json:"last_ms"`
}

// Convicted tells whether the request surely crashes backend servers: it did
// so a second time, and that time nothing else was there to blame.
func (s Suspect) Convicted() bool {
	const maxCrashes = 3
	return (s.Alone >= 1 && s.Crashes >= 2) || s.Crashes >= maxCrashes
}

// maxSuspects bounds the table; the oldest goes first.
const maxSuspects = 2048

// ReportCrash counts a crash against each request that was in flight.
type ReportCrash struct {
	// Fingerprints of the requests that the reporting entry had in flight.
	Fingerprints []string `json:"fingerprints"`
	Incarnation  string   `json:"incarnation"`
	// Alone says that the one request had the backend server for itself.
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

// ForgetSuspect clears a request that finished well alone, or is long past.
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
