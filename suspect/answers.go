package suspect

import (
	"maps"
	"time"
)

// otherAnswers counts the settled answers of one instance without a part that has been
// suspected since a time: when the instance first reported that it watches the part, and
// now.
type otherAnswers struct {
	since         time.Time
	first, newest uint64
}

// mergeAnswers records the settled answers that an instance has reported. Only those since
// it watches a part are evidence against the part: earlier ones may hold it and not be
// reported to clear it.
func (s *State) mergeAnswers(now time.Time, known *reported, r Report) {
	s.fleet.recordAnswers(now, r.RecentAnswers)
	maps.DeleteFunc(known.others, func(p Part, o otherAnswers) bool {
		suspected, ok := s.fleet.suspicions[p]
		return !ok || !o.since.Equal(suspected.since)
	})
	for p, suspected := range s.fleet.suspicions {
		with, ok := r.AnswersWith[p]
		if !ok || with > r.Answers {
			delete(known.others, p)
			continue
		}
		o, ok := known.others[p]
		if !ok {
			o = otherAnswers{since: suspected.since, first: r.Answers - with}
		}
		o.newest = max(o.newest, r.Answers-with)
		known.others[p] = o
	}
}

// answersWithout returns the number of settled answers without a part since it is
// suspected, of all instances that watch it.
func (s *State) answersWithout(p Part) uint64 {
	suspected, ok := s.fleet.suspicions[p]
	if !ok {
		return 0
	}
	n := s.ownAnswersWithout(p) - suspected.others
	for _, known := range s.fleet.instances {
		if o, ok := known.others[p]; ok && o.since.Equal(suspected.since) {
			n += o.newest - o.first
		}
	}
	return n
}

// ownAnswersWithout returns the number of this instance's settled answers without a watched
// part.
func (s *State) ownAnswersWithout(p Part) uint64 { return s.history.answers - s.answersWith[p] }

// recordAnswers records that an instance has recent answers with the given parts.
func (f *fleet) recordAnswers(now time.Time, counts map[Part]int) {
	for p, n := range counts {
		if n > 0 {
			f.answered[p] = now
		}
	}
}
