package quota

import "time"

const (
	// demandPeriod is the period in which operations are counted to estimate the demand.
	demandPeriod = time.Second
	// maxBatch bounds the units that are asked for at once.
	maxBatch = 16
	// minReturnDelay and maxReturnDelay bound the time after which a refused caller is told to come back. Callers return at
	// most twice, so the time must not be much shorter than that in which a burst passes.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 2 * time.Second
)

// Unit is the permission for one operation.
type Unit struct {
	expires time.Time
}

// Store holds the units of a proxy that asks others for them, and remembers refusals. It is not safe for concurrent use.
// All times are boot times.
type Store struct {
	validity  time.Duration
	customers map[string]*stored
}

// stored is the state of one customer.
type stored struct {
	units []Unit
	// room is the time at which a counting proxy that refused expects room, by its name.
	room map[string]time.Time
	// lastReturn is the time at which the last refused caller was told to come back.
	lastReturn time.Time
	// operations and formerOperations are the numbers of operations in the present and the former period.
	operations, formerOperations int
	periodBegan                  time.Time
}

// NewStore returns an empty store.
func NewStore(bounds Bounds) *Store {
	return &Store{validity: bounds.Validity(), customers: make(map[string]*stored)}
}

// Use returns a unit for an operation if there is one.
func (s *Store) Use(now time.Time, customer string) (Unit, bool) {
	own := s.of(customer)
	own.countOperation(now)

	for len(own.units) > 0 {
		unit := own.units[0] // The oldest, which expires first.
		own.units = own.units[1:]

		if now.Before(unit.expires) {
			return unit, true
		}
	}

	return Unit{}, false
}

// Batch returns how many units to ask for: one, and those for the operations expected in half of their validity.
func (s *Store) Batch(now time.Time, customer string) int {
	own := s.of(customer)
	perSecond := float64(own.formerOperations+own.operations) / (demandPeriod + now.Sub(own.periodBegan)).Seconds()

	return min(maxBatch, 1+int(perSecond*s.validity.Seconds()/2))
}

// Add stores units that were asked for at the given time and returns one for the operation that needed them. The time of
// the request bounds their age, because they were granted after it.
func (s *Store) Add(customer string, count int, askedAt time.Time) Unit {
	own := s.of(customer)
	unit := Unit{expires: askedAt.Add(s.validity)}

	for range count - 1 {
		own.units = append(own.units, unit)
	}

	return unit
}

// Return stores the unit of an operation that certainly did not run.
func (s *Store) Return(now time.Time, customer string, unit Unit) {
	if now.Before(unit.expires) {
		own := s.of(customer)
		own.units = append(own.units, unit)
	}
}

// SetRoom records when a counting proxy that refused expects room.
func (s *Store) SetRoom(customer, counter string, at time.Time) {
	s.of(customer).room[counter] = at
}

// Room returns the time at which a counting proxy expects room, or zero.
func (s *Store) Room(customer, counter string) time.Time {
	return s.of(customer).room[counter]
}

// ReturnDelay returns the time after which a refused caller should come back: one caller after the other, beginning at
// the time at which room is expected.
func (s *Store) ReturnDelay(now time.Time, customer string, room time.Time) time.Duration {
	own := s.of(customer)
	step := min(maxReturnDelay/8, max(room.Sub(now), time.Millisecond))
	own.lastReturn = laterTime(own.lastReturn, room).Add(step)
	own.lastReturn = earlierTime(own.lastReturn, now.Add(maxReturnDelay))

	return max(minReturnDelay, own.lastReturn.Sub(now))
}

// Keep drops what belongs to other customers than those named.
func (s *Store) Keep(limits map[string]Limit) {
	for customer := range s.customers {
		if _, limited := limits[customer]; !limited {
			delete(s.customers, customer)
		}
	}
}

func (s *Store) of(customer string) *stored {
	own := s.customers[customer]
	if own == nil {
		own = &stored{room: make(map[string]time.Time)}
		s.customers[customer] = own
	}

	return own
}

func (o *stored) countOperation(now time.Time) {
	if elapsed := now.Sub(o.periodBegan); elapsed >= demandPeriod {
		o.formerOperations = o.operations
		if elapsed >= 2*demandPeriod {
			o.formerOperations = 0
		}

		o.operations, o.periodBegan = 0, now
	}

	o.operations++
}
