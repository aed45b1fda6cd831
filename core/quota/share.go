package quota

import (
	"time"

	"almondgrade/core/topology"
)

// Limit is a customer's limit over all proxies.
type Limit struct {
	Rate, Burst float64
}

// Bounds say how far the operations of a window may exceed a limit.
type Bounds struct {
	Window time.Duration
	// Overage is relative to the limit, Slack is a number of operations.
	Overage, Slack float64
}

// DefaultBounds apply if the settings of a process name none.
func DefaultBounds() Bounds {
	return Bounds{Window: 5 * time.Second}
}

// maxValidity is the time for which granted units may wait for an operation.
const maxValidity = 200 * time.Millisecond

// Validity returns the time for which granted units may wait for an operation. Half of the overage covers the units that
// were granted before a window and are used in it.
func (b Bounds) Validity() time.Duration {
	half := b.Overage / 2

	return min(maxValidity, time.Duration(half/(1+half)*float64(b.Window)))
}

const (
	// firstFraction is the part of the limit of the first counting proxy. The second has the rest and half of the
	// overage: if the first is lost, most of a customer's usual load, 1/1.6 of its limit, goes on.
	firstFraction = 0.6
	// firstSlack, secondSlack and thirdSlack are the parts of the slack of each counting proxy. Together they leave a fifth
	// of the slack, which covers the units of the third that were granted before a window. The third needs all of its
	// part within a window: half as capacity, half as refill.
	firstSlack  = 0.2
	secondSlack = 0.4
	thirdSlack  = 0.2
)

// Share is what a counting proxy may grant under the lists in force.
type Share struct {
	Self   string
	Lists  topology.Counters
	Bounds Bounds
}

// Of returns the part of a customer's limit. While a former list is in force, it is the lower of the parts under both.
func (s Share) Of(customer string, limit Limit) Part {
	part := s.under(s.Lists.Current, customer, limit)
	if len(s.Lists.Former) > 0 {
		part = part.min(s.under(s.Lists.Former, customer, limit))
	}

	return part
}

func (s Share) under(list []topology.CountingProxy, customer string, limit Limit) Part {
	if limit.Rate <= 0 {
		return Part{}
	}

	ranked := Ranked(customer, list)
	half, slack := s.Bounds.Overage/2, s.Bounds.Slack

	for rank, proxy := range ranked {
		if proxy.Name != s.Self {
			continue
		}

		switch {
		case rank == 0 && len(ranked) == 1:
			return s.part(limit, 1+half, (firstSlack+secondSlack)*slack)
		case rank == 0:
			return s.part(limit, firstFraction, firstSlack*slack)
		case rank == 1:
			return s.part(limit, 1-firstFraction+half, secondSlack*slack)
		default:
			return Part{Rate: thirdSlack / 2 * slack / s.Bounds.Window.Seconds(), Capacity: thirdSlack / 2 * slack}
		}
	}

	return Part{}
}

// part returns a fraction of a limit with some slack. Without enough burst and slack for a single unit, the bucket gets
// room for one at the expense of its rate, so that the total of a window stays the same.
func (s Share) part(limit Limit, fraction, slack float64) Part {
	part := Part{Rate: fraction * limit.Rate, Capacity: fraction*limit.Burst + slack}
	if part.Capacity >= 1 {
		return part
	}

	span := (s.Bounds.Window + s.Bounds.Validity()).Seconds()
	total := part.Capacity + part.Rate*span
	part.Capacity = min(1, total)
	part.Rate = (total - part.Capacity) / span

	return part
}
