package bench

import (
	"sort"
	"sync"
	"time"
)

// outcome is what a client knows about a write.
type outcome uint8

const (
	refused outcome = iota // It did not run.
	unknown
	acknowledged
)

// Violations count broken promises; any that is not zero voids the run.
type Violations struct {
	// Stale counts reads that miss an acknowledged write that they had to show.
	Stale int `json:"stale"`
	// Lost counts acknowledged writes that are missing at the end.
	Lost int `json:"lost"`
	// Doubled counts writes that took effect more often than they were sent.
	Doubled int `json:"doubled"`
	// Ran counts writes that were refused as not run and did run.
	Ran int `json:"ran"`
	// Wrong counts answers to another request, or with values that nobody wrote.
	Wrong int `json:"wrong"`
}

// Total returns the sum of all violations.
func (v Violations) Total() int {
	return v.Stale + v.Lost + v.Doubled + v.Ran + v.Wrong
}

// ledger keeps what is known of the writes of a run.
type ledger struct {
	mu         sync.Mutex
	records    map[string]*record
	filed      map[string]outcome
	violations Violations
	// examples describes the first violations.
	examples []string
	// gap is the longest time between two acknowledged writes of a database.
	gap  time.Duration
	last map[string]time.Time
}

// record counts the updates of one record.
type record struct {
	sent, unknown int64
	// acknowledged holds the times of acknowledgement in order.
	acknowledged []time.Time
}

const maxExamples = 20

func newLedger() *ledger {
	return &ledger{records: map[string]*record{}, filed: map[string]outcome{}, last: map[string]time.Time{}}
}

func (l *ledger) record(key string) *record {
	if l.records[key] == nil {
		l.records[key] = &record{}
	}

	return l.records[key]
}

func (l *ledger) send(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.record(key).sent++
}

// settle notes the outcome of an update that was sent.
func (l *ledger) settle(key string, result outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r := l.record(key)

	switch result {
	case refused:
		r.sent--
	case unknown:
		r.unknown++
	case acknowledged:
		r.acknowledged = append(r.acknowledged, at)
	}
}

// file notes the outcome of an inserted row.
func (l *ledger) file(id string, result outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.filed[id] = result
}

// wrote notes an acknowledged write for the failover gap.
func (l *ledger) wrote(database string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if last, ok := l.last[database]; ok {
		l.gap = max(l.gap, at.Sub(last))
	}

	l.last[database] = at
}

// floor returns the lowest version that a read may answer which must show the writes acknowledged before a time.
func (l *ledger) floor(key string, before time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	times := l.record(key).acknowledged

	return int64(sort.Search(len(times), func(i int) bool { return !times[i].Before(before) }))
}

// checkRead compares an answer with the floor taken when it was asked for.
func (l *ledger) checkRead(key string, version, floor int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	switch {
	case version < floor:
		l.breach(&l.violations.Stale, key+": read version is older than an acknowledged update")
	case version > l.record(key).sent:
		l.breach(&l.violations.Wrong, key+": read version was never written")
	}
}

func (l *ledger) wrong(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.breach(&l.violations.Wrong, what)
}

func (l *ledger) stale(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.breach(&l.violations.Stale, what)
}

func (l *ledger) breach(count *int, example string) {
	*count++

	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, example)
	}
}

// audit compares the final state of the databases with the ledger.
func (l *ledger) audit(versions map[string]int64, filed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for key, r := range l.records {
		version, sure := versions[key], int64(len(r.acknowledged))

		switch {
		case version < sure:
			l.breach(&l.violations.Lost, key+": acknowledged updates are missing")
		case version > sure+r.unknown:
			l.breach(&l.violations.Doubled, key+": more updates than were acknowledged or left unknown")
		}
	}

	for id, result := range l.filed {
		switch count := filed[id]; {
		case result == acknowledged && count == 0:
			l.breach(&l.violations.Lost, id+": acknowledged row is missing")
		case result == refused && count > 0:
			l.breach(&l.violations.Ran, id+": refused row exists")
		case count > 1:
			l.breach(&l.violations.Doubled, id+": row exists more than once")
		}
	}
}
