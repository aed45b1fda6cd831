package quota

import (
	"time"

	"almondgrade/core/topology"
)

// minTurnDelay and maxTurnDelay bound the time by which a refused proxy is asked to wait longer than until the next unit,
// because others were refused before it. With 50 ms and no burst, a customer at six times its usual load of 225 operations
// per second costs less than a call for each refusal.
const (
	minTurnDelay = 50 * time.Millisecond
	maxTurnDelay = 250 * time.Millisecond
)

// Counter counts for all customers of one counting proxy. It is not safe for concurrent use. All times are boot times.
type Counter struct {
	share  Share
	limits map[string]Limit
	lease  time.Time
	counts map[string]*count
}

// count is the state of one customer.
type count struct {
	bucket Bucket
	// nextTurn is the time for which the last refused proxy was told to come back.
	nextTurn time.Time
}

// Taken is the answer to a request for units.
type Taken struct {
	Granted int
	// RetryAfter is the time until there is room, if nothing was granted for lack of it.
	RetryAfter time.Duration
	// NoLease is true if the proxy can't count for the customer, so that another one has to be asked.
	NoLease bool
}

// NewCounter returns a counter without lists, limits and lease. Its buckets are empty, because an earlier process of the
// proxy may have granted all that they could hold.
func NewCounter(self string, bounds Bounds) *Counter {
	return &Counter{share: Share{Self: self, Bounds: bounds}, counts: make(map[string]*count)}
}

// Epoch returns the epoch of the lists in force, or zero.
func (c *Counter) Epoch() uint64 {
	return c.share.Lists.Epoch
}

// Lists returns the lists in force.
func (c *Counter) Lists() topology.Counters {
	return c.share.Lists
}

// SetLimits replaces the limits. It must be called before SetLists for the limits to be in force.
func (c *Counter) SetLimits(now time.Time, limits map[string]Limit) {
	c.limits = limits
	c.update(now)
}

// SetLists puts newer lists into force. Units that were left when the lease ended are dropped, because another proxy may
// have granted them since.
func (c *Counter) SetLists(now time.Time, lists topology.Counters) {
	if lists.Epoch <= c.share.Lists.Epoch {
		return
	}

	if !now.Before(c.lease) {
		for _, counted := range c.counts {
			counted.bucket.Empty(now)
		}
	}

	c.share.Lists = lists
	c.update(now)
}

// update applies the parts under the present lists and limits to the buckets. New buckets begin empty.
func (c *Counter) update(now time.Time) {
	for customer, limit := range c.limits {
		part := c.share.Of(customer, limit)

		switch counted := c.counts[customer]; {
		case part == Part{}:
			delete(c.counts, customer)
		case counted == nil:
			counted = &count{}
			counted.bucket.SetPart(now, part)
			c.counts[customer] = counted
		default:
			counted.bucket.SetPart(now, part)
		}
	}

	for customer := range c.counts {
		if _, limited := c.limits[customer]; !limited {
			delete(c.counts, customer)
		}
	}
}

// ExtendLease sets the end of the lease. Newer lists that came with the lease must be in force before.
func (c *Counter) ExtendLease(until time.Time) {
	c.lease = until
}

// Leased reports whether the lease is valid.
func (c *Counter) Leased(now time.Time) bool {
	return now.Before(c.lease)
}

// Take grants up to n units to a customer. Refused proxies are given turns, so that they don't all ask again for the
// next unit.
func (c *Counter) Take(now time.Time, customer string, n int) Taken {
	limit, known := c.limits[customer]
	counted := c.counts[customer]

	switch {
	case known && limit.Rate <= 0:
		return Taken{RetryAfter: maxWait}
	case counted == nil || !c.Leased(now):
		return Taken{NoLease: true}
	}

	if granted := counted.bucket.Take(now, n); granted > 0 {
		return Taken{Granted: granted}
	}

	wait := counted.bucket.Wait()
	if rate := counted.bucket.part.Rate; rate > 0 {
		// The bucket must not fill up while those that were refused wait.
		delay := min(maxTurnDelay, max(minTurnDelay, time.Duration(counted.bucket.part.Capacity/2/rate*float64(time.Second))))
		turn := counted.nextTurn.Add(time.Duration(float64(time.Second) / rate))
		counted.nextTurn = laterTime(now.Add(wait), earlierTime(turn, now.Add(wait+delay)))
		wait = counted.nextTurn.Sub(now)
	}

	return Taken{RetryAfter: wait}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
