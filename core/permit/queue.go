package permit

import (
	"slices"
	"time"
)

// maxUrgentStreak is the number of urgent grants in a row after which one waiting routine request is served.
const maxUrgentStreak = 7

// queue holds the waiting requests for one kind of permit; each class is in order of arrival.
type queue struct {
	urgent       []Request
	routine      []Request
	urgentGrants int
}

func (q *queue) len() int {
	return len(q.urgent) + len(q.routine)
}

func (q *queue) class(urgent bool) *[]Request {
	if urgent {
		return &q.urgent
	}

	return &q.routine
}

// mustWait reports whether there are waiting requests that a new request may not overtake.
func (q *queue) mustWait(urgent bool) bool {
	return len(q.urgent) > 0 || !urgent && len(q.routine) > 0
}

// hasServable reports whether a request can be served. The argument says whether routine requests may be.
func (q *queue) hasServable(routine bool) bool {
	return len(q.urgent) > 0 || routine && len(q.routine) > 0
}

// next removes and returns the request to serve. The argument says whether routine requests may be served.
func (q *queue) next(routine bool) Request {
	class := &q.urgent
	if len(q.urgent) == 0 || routine && q.urgentGrants >= maxUrgentStreak && len(q.routine) > 0 {
		class = &q.routine
	}

	if class == &q.urgent {
		q.urgentGrants++
	} else {
		q.urgentGrants = 0
	}

	taken := (*class)[0]
	*class = (*class)[1:]

	return taken
}

// noteGrant updates the streak for a request that was served without waiting.
func (q *queue) noteGrant(urgent bool) {
	if urgent {
		q.urgentGrants++
	} else {
		q.urgentGrants = 0
	}
}

// remove removes and returns the requests that match.
func (q *queue) remove(match func(Request) bool) []Request {
	var removed []Request

	for _, class := range []*[]Request{&q.urgent, &q.routine} {
		*class = slices.DeleteFunc(*class, func(waiting Request) bool {
			if !match(waiting) {
				return false
			}

			removed = append(removed, waiting)

			return true
		})
	}

	return removed
}

func (q *queue) find(id ID) *Request {
	for _, class := range []*[]Request{&q.urgent, &q.routine} {
		for i := range *class {
			if (*class)[i].ID == id {
				return &(*class)[i]
			}
		}
	}

	return nil
}

// estimate returns the expected wait of a new request, if each of the given number of permits is held for the mean
// time.
func (q *queue) estimate(urgent bool, permits int, mean time.Duration) time.Duration {
	if permits == 0 {
		return 0
	}

	ahead := len(q.urgent)
	if urgent {
		ahead += min(len(q.routine), ahead/maxUrgentStreak)
	} else {
		ahead += len(q.routine)
	}

	return mean * time.Duration(ahead+1) / time.Duration(permits)
}
