package connections

import "time"

// customer is what a pool knows about one customer.
type customer struct {
	weight   float64
	priority int
	// inUse counts connections in use or being opened, idle the idle ones, waiting the statements in the queue.
	inUse, idle, waiting int
	// virtual is the time for which connections were used in this period of contention, divided by the fair share.
	virtual  float64
	period   uint64
	lastUsed time.Time
}

func (c *customer) isActive() bool {
	return c.inUse+c.waiting > 0
}

// spare ranks how well a customer can do without one of its idle connections.
func (c *customer) spare() int {
	switch {
	case c.idle > max(1, c.waiting):
		return 2
	case c.waiting == 0:
		return 1
	}

	return 0
}

// customers holds the customers of a pool.
//
// Virtual time starts anew with each period of contention, that is each time that the queue was empty, so that using
// connections that nobody else asked for is never held against a customer.
type customers struct {
	// anonymous stands for callers without a customer.
	anonymous customer
	named     map[string]*customer
	// active counts the customers with a connection in use or a waiting statement; activeWeight sums their weights.
	active       int
	activeWeight float64
	period       uint64
	// floor is the virtual time of the customer that was served last.
	floor   float64
	meanUse time.Duration
}

// get returns the customer with the name, which the pool must know.
func (s *customers) get(name string) *customer {
	if name == "" {
		return &s.anonymous
	}

	return s.named[name]
}

// admit returns the customer of a statement with its present weight and priority.
func (s *customers) admit(now time.Time, request *Request) *customer {
	found := s.get(request.Customer)
	if found == nil {
		if s.named == nil {
			s.named = make(map[string]*customer)
		}

		found = &customer{}
		s.named[request.Customer] = found
	}

	weight := request.Weight
	if weight <= 0 {
		weight = 1
	}

	if found.weight != weight {
		if found.isActive() {
			s.activeWeight += weight - found.weight
		}

		found.weight = weight
	}

	found.priority, found.lastUsed = request.CustomerPriority, now

	return found
}

// change changes the numbers of a customer's connections in use and waiting statements.
func (s *customers) change(of *customer, inUse, waiting int) {
	before := of.isActive()
	of.inUse += inUse
	of.waiting += waiting

	switch after := of.isActive(); {
	case after && !before:
		s.active++
		s.activeWeight += of.weight
	case before && !after:
		s.active--
		s.activeWeight -= of.weight
	}

	if s.active == 0 {
		s.activeWeight = 0 // Sums of fractions are not exact.
	}
}

// charge records the use of a connection.
func (s *customers) charge(to *customer, used time.Duration, limit int, contention bool) {
	s.meanUse += (used - s.meanUse) / useTimeSmoothingDivisor

	if contention && len(s.named) > 0 {
		s.enter(to)
		to.virtual += used.Seconds() / s.fairShare(to, limit)
	}
}

// enter brings a customer into the present period of contention. It gets no credit for the time before.
func (s *customers) enter(of *customer) {
	if of.period != s.period {
		of.period, of.virtual = s.period, s.floor
	}

	if !of.isActive() {
		of.virtual = max(of.virtual, s.floor)
	}
}

// fairShare returns a customer's share of the granted connections: in proportion to the active customers' weights, where
// each counts for one connection at least.
func (s *customers) fairShare(of *customer, limit int) float64 {
	if s.activeWeight <= 0 || limit == 0 {
		return max(1, float64(limit))
	}

	// The others may add up to a connection each to what their weights stand for.
	proportional := float64(limit) * of.weight / max(s.activeWeight, of.weight)

	return max(1, proportional/(1+float64(max(0, s.active-1))/float64(limit)))
}

// isOverShare reports whether one more connection would take a customer beyond its share.
func (s *customers) isOverShare(of *customer, limit int) bool {
	return float64(of.inUse+1) > s.fairShare(of, limit)
}

// position returns the customer's place in the fair order: the time for which it has used connections, and is expected
// to use those in use now, in relation to its share.
func (s *customers) position(of *customer, limit int) float64 {
	return of.virtual + float64(of.inUse)*s.meanUse.Seconds()/s.fairShare(of, limit)
}

// countRecent counts the customers that use the server or did so lately.
func (s *customers) countRecent(now time.Time) int {
	count := 0

	for _, known := range s.named {
		if known.isActive() || now.Sub(known.lastUsed) < recentUse {
			count++
		}
	}

	if s.anonymous.isActive() || !s.anonymous.lastUsed.IsZero() && now.Sub(s.anonymous.lastUsed) < recentUse {
		count++
	}

	return count
}

// forget removes the customers that have nothing and did not use the server lately.
func (s *customers) forget(now time.Time) {
	for name, known := range s.named {
		if !known.isActive() && known.idle == 0 && now.Sub(known.lastUsed) >= recentUse {
			delete(s.named, name)
		}
	}
}
