package controller

import "time"

const (
	// stallWitnesses is how many entries must find a group silent at the same
	// time for it to be broken.
	//
	// Load: a link loses one packet in forty; each stream that crosses it stands
	// still for a fifth of a second now and then, and each entry has one or two
	// streams of a group. Harm of taking one entry's word: all groups behind the
	// link are broken, one after the other, and their streams with them. Reason
	// for three within stallTogether: streams that lose packets do so each at a
	// time of its own; those of a group that stands still all stop in one pass.
	stallWitnesses = 3
	stallTogether  = 250 * time.Millisecond
	// longStall is the silence from which two entries within it suffice, and
	// lastingStall that from which one does: a group that few use must be found
	// too, and a packet is seldom lost three times in a row.
	longStall    = time.Second
	lastingStall = 2 * time.Second
	// stallMemory is how long an entry's word is kept.
	stallMemory = 5 * time.Second
)

// Stalls gathers what entries say of groups that make no progress, and decides
// when to believe them. It is not safe for concurrent use.
type Stalls struct {
	words map[StalledGroup]map[string]stallWord
}

// stallWord is what one entry last said of a group.
type stallWord struct {
	at     time.Time
	silent time.Duration
}

// NewStalls returns Stalls that have heard nothing.
func NewStalls() *Stalls { return &Stalls{words: make(map[StalledGroup]map[string]stallWord)} }

// Note takes an entry's word that all its streams on a group have been silent
// for so long.
func (s *Stalls) Note(now time.Time, entry string, g StalledGroup, silent time.Duration) {
	if s.words[g] == nil {
		s.words[g] = make(map[string]stallWord)
	}
	s.words[g][entry] = stallWord{now, silent}
}

// Stalled returns the groups that are believed to stand still, and since when
// they are. entries is how many take callers' requests.
func (s *Stalls) Stalled(now time.Time, entries int) map[StalledGroup]time.Time {
	out := make(map[StalledGroup]time.Time)
	for g, words := range s.words {
		if believed(now, words, entries) {
			out[g] = now
		}
		for entry, word := range words {
			if now.Sub(word.at) > stallMemory {
				delete(words, entry)
			}
		}
		if len(words) == 0 {
			delete(s.words, g)
		}
	}
	return out
}

func believed(now time.Time, words map[string]stallWord, entries int) bool {
	together, long := 0, 0
	for _, word := range words {
		age := now.Sub(word.at)
		if age <= stallTogether {
			together++
		}
		if word.silent >= longStall && age <= longStall {
			long++
		}
		if word.silent >= lastingStall && age <= stallTogether {
			return true
		}
	}
	return together >= min(stallWitnesses, max(1, entries)) || long >= min(2, max(1, entries))
}
