package bench

import (
	"sort"
	"sync"
	"time"
)

// outcome is what a caller knows about a write.
type outcome uint8

const (
	refused outcome = iota // The write did not run.
	unknown
	acknowledged
)

// Violations count violated guarantees. A run with any of them is void.
type Violations struct {
	// Stale counts reads that lack an acknowledged write that they had to show.
	Stale int `json:"stale"`
	// Lost counts acknowledged writes that are missing at the end.
	Lost int `json:"lost"`
	// Doubled counts writes that ran more often than they were sent.
	Doubled int `json:"doubled"`
	// Ran counts writes that were refused as not run but did run.
	Ran int `json:"ran"`
	// Wrong counts answers that belong to another request or have values that were never written.
	Wrong int `json:"wrong"`
}

// Total returns the sum of all violations.
func (v Violations) Total() int {
	return v.Stale + v.Lost + v.Doubled + v.Ran + v.Wrong
}

// ledger records the writes of a run and their outcomes, and checks reads and the final state against them.
type ledger struct {
	mu         sync.Mutex
	records    map[string]*record
	rows       map[string]outcome
	violations Violations
	// examples describes the first violations.
	examples []string
	// maxWriteGap is the longest time between two acknowledged writes to the same database.
	maxWriteGap time.Duration
	lastWrite   map[string]time.Time
}

// record counts the updates of one record.
type record struct {
	sent, unknown int64
	// acknowledged holds the times of the acknowledgements in ascending order.
	acknowledged []time.Time
}

const maxExamples = 20

func newLedger() *ledger {
	return &ledger{records: map[string]*record{}, rows: map[string]outcome{}, lastWrite: map[string]time.Time{}}
}

func (l *ledger) findOrAddRecordLocked(key string) *record {
	if l.records[key] == nil {
		l.records[key] = &record{}
	}

	return l.records[key]
}

func (l *ledger) recordSentUpdate(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.findOrAddRecordLocked(key).sent++
}

// recordUpdateOutcome records the outcome of an update that was sent.
func (l *ledger) recordUpdateOutcome(key string, result outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r := l.findOrAddRecordLocked(key)

	switch result {
	case refused:
		r.sent--
	case unknown:
		r.unknown++
	case acknowledged:
		r.acknowledged = append(r.acknowledged, at)
	}
}

// recordRowOutcome records the outcome of the insert of a row.
func (l *ledger) recordRowOutcome(id string, result outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.rows[id] = result
}

// recordAcknowledgedWrite updates the write gap of a database.
func (l *ledger) recordAcknowledgedWrite(database string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if last, ok := l.lastWrite[database]; ok {
		l.maxWriteGap = max(l.maxWriteGap, at.Sub(last))
	}

	l.lastWrite[database] = at
}

// minVersion returns the lowest version that a read may return if it must show all updates acknowledged before a time.
func (l *ledger) minVersion(key string, before time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	times := l.findOrAddRecordLocked(key).acknowledged

	return int64(sort.Search(len(times), func(i int) bool { return !times[i].Before(before) }))
}

// checkRead compares the version that a read returned with the minimum version at the time of its request.
func (l *ledger) checkRead(key string, version, minVersion int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	switch {
	case version < minVersion:
		l.addViolationLocked(&l.violations.Stale, key+": read version is older than an acknowledged update")
	case version > l.findOrAddRecordLocked(key).sent:
		l.addViolationLocked(&l.violations.Wrong, key+": read version was never written")
	}
}

func (l *ledger) addWrongAnswer(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.addViolationLocked(&l.violations.Wrong, what)
}

func (l *ledger) addStaleRead(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.addViolationLocked(&l.violations.Stale, what)
}

func (l *ledger) addViolationLocked(count *int, example string) {
	*count++

	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, example)
	}
}

// checkFinalState compares the final state of the databases with the ledger.
func (l *ledger) checkFinalState(versions map[string]int64, rows map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for key, r := range l.records {
		version, acknowledgedUpdates := versions[key], int64(len(r.acknowledged))

		switch {
		case version < acknowledgedUpdates:
			l.addViolationLocked(&l.violations.Lost, key+": acknowledged updates are missing")
		case version > acknowledgedUpdates+r.unknown:
			l.addViolationLocked(&l.violations.Doubled, key+": more updates than were acknowledged or left unknown")
		}
	}

	for id, result := range l.rows {
		switch count := rows[id]; {
		case result == acknowledged && count == 0:
			l.addViolationLocked(&l.violations.Lost, id+": acknowledged row is missing")
		case result == refused && count > 0:
			l.addViolationLocked(&l.violations.Ran, id+": refused row exists")
		case count > 1:
			l.addViolationLocked(&l.violations.Doubled, id+": row exists more than once")
		}
	}
}
