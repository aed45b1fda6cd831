package viewlog

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxTombstones is the number of removed entries that a part remembers. A replica that has missed more gets the
	// whole part.
	maxTombstones = 64
	// pieceBytes is the size from which on no further part is added to a delta: 0.26 s on a link of 2 Mbit/s, a fifth of
	// the time that a call may take.
	pieceBytes = 64 << 10
)

// Log is the view of one leader with the number of the last change of each entry. It is not safe for concurrent use.
type Log struct {
	term   uint64
	number uint64
	parts  map[string]*part
	// common are the names of the parts for all proxies, in order.
	common []string
	// commonChangedAt and commonDigest sum up the parts for all proxies.
	commonChangedAt uint64
	commonDigest    uint64
	// subscriptions are the parts of each subscriber, in order; forEveryone are the parts to which all subscribe.
	subscriptions map[string][]string
	forEveryone   []string
	// lostAt has the number of the last view that ended a subscription of a proxy; the empty name stands for all.
	lostAt  map[string]uint64
	encoded map[changeKey]cbor.RawMessage
	// compressed are the compressed changes of the parts for all proxies.
	compressed map[pieceKey][]byte
}

type part struct {
	entries map[string]logEntry
	// removed are the numbers of the views that removed an entry. Views up to forgottenUpTo may have removed others.
	removed       map[string]uint64
	forgottenUpTo uint64
	changedAt     uint64
	digest        uint64
	// subscribedAt has the number of the view since which a proxy needs the part, and everyoneSince that since which
	// all do, or zero.
	subscribedAt  map[string]uint64
	everyoneSince uint64
}

type logEntry struct {
	value     []byte
	changedAt uint64
	hash      uint64
}

// changeKey identifies the change of a part since a view.
type changeKey struct {
	part  string
	since uint64
}

// pieceKey identifies the parts for all proxies in a delta: those that changed since a view, between two cursors.
type pieceKey struct {
	since    uint64
	from, to string
}

// New returns the empty log of a leader.
func New(term uint64) *Log {
	return &Log{
		term: term, parts: make(map[string]*part), subscriptions: make(map[string][]string),
		lostAt: make(map[string]uint64), encoded: make(map[changeKey]cbor.RawMessage), compressed: make(map[pieceKey][]byte),
	}
}

// Begin begins the view with the given number, which is greater than that of the view before. The changes that follow
// belong to it.
func (l *Log) Begin(number uint64) {
	l.number = number
	clear(l.encoded)
	clear(l.compressed)
}

// Number returns the number of the current view.
func (l *Log) Number() uint64 {
	return l.number
}

func (l *Log) part(name string) *part {
	found := l.parts[name]
	if found == nil {
		found = &part{entries: make(map[string]logEntry), removed: make(map[string]uint64), subscribedAt: make(map[string]uint64)}
		l.parts[name] = found

		if strings.HasPrefix(name, commonPrefix) {
			l.common = append(l.common, name)
			slices.Sort(l.common)
		}
	}

	return found
}

// Set adds or changes an entry.
func (l *Log) Set(partName, name string, value []byte) {
	changed := l.part(partName)
	former, known := changed.entries[name]

	if known && bytes.Equal(former.value, value) {
		return
	}

	added := logEntry{value: value, changedAt: l.number, hash: hashEntry(partName, name, value)}
	l.recordChange(partName, changed, added.hash-former.hash)
	changed.entries[name] = added
	delete(changed.removed, name)
}

// Remove removes an entry if there is one.
func (l *Log) Remove(partName, name string) {
	changed := l.part(partName)
	former, known := changed.entries[name]

	if !known {
		return
	}

	l.recordChange(partName, changed, -former.hash)
	delete(changed.entries, name)

	changed.removed[name] = l.number

	for len(changed.removed) > maxTombstones {
		oldest := ""

		for other, at := range changed.removed {
			if oldest == "" || at < changed.removed[oldest] {
				oldest = other
			}
		}

		changed.forgottenUpTo = max(changed.forgottenUpTo, changed.removed[oldest])
		delete(changed.removed, oldest)
	}
}

// recordChange records that a part has changed in the current view, by the given difference of its digest.
func (l *Log) recordChange(partName string, changed *part, difference uint64) {
	changed.changedAt = l.number
	changed.digest += difference

	if strings.HasPrefix(partName, commonPrefix) {
		l.commonChangedAt = l.number
		l.commonDigest += difference
	}
}

// EntryChangedAt returns the number of the view that last changed an entry, or zero if there is no such entry.
func (l *Log) EntryChangedAt(partName, name string) uint64 {
	if found := l.parts[partName]; found != nil {
		return found.entries[name].changedAt
	}

	return 0
}

// Subscribe sets which proxies need a part: all, or those with the given names.
func (l *Log) Subscribe(partName string, everyone bool, names []string) {
	subscribed := l.part(partName)
	wereAll := subscribed.everyoneSince > 0

	if everyone != wereAll {
		subscribed.everyoneSince = 0

		if everyone {
			subscribed.everyoneSince = l.number
			l.forEveryone = insert(l.forEveryone, partName)
		} else {
			l.forEveryone = remove(l.forEveryone, partName)
			l.lostAt[""] = l.number
		}
	}

	for name := range subscribed.subscribedAt {
		if !slices.Contains(names, name) {
			delete(subscribed.subscribedAt, name)

			l.lostAt[name] = l.number
			l.subscriptions[name] = remove(l.subscriptions[name], partName)
			if len(l.subscriptions[name]) == 0 {
				delete(l.subscriptions, name)
			}
		}
	}

	for _, name := range names {
		if subscribed.subscribedAt[name] == 0 {
			subscribed.subscribedAt[name] = l.number
			l.subscriptions[name] = insert(l.subscriptions[name], partName)
		}
	}
}

func insert(sorted []string, name string) []string {
	at, _ := slices.BinarySearch(sorted, name)

	return slices.Insert(sorted, at, name)
}

func remove(sorted []string, name string) []string {
	return slices.DeleteFunc(sorted, func(other string) bool { return other == name })
}

// ownParts returns the parts for subscribers that a proxy needs, in order.
func (l *Log) ownParts(proxy string) []string {
	own := l.subscriptions[proxy]
	if len(l.forEveryone) == 0 {
		return own
	}

	own = slices.Concat(own, l.forEveryone)
	slices.Sort(own)

	return slices.Compact(own)
}

// neededSince returns the number of the view since which a proxy needs a part, or zero if it always did.
func (p *part) neededSince(proxy string) uint64 {
	since := p.subscribedAt[proxy]
	if p.everyoneSince > 0 && (since == 0 || p.everyoneSince < since) {
		since = p.everyoneSince
	}

	return since
}

// Changed reports whether a replica at the given position lacks something.
func (l *Log) Changed(proxy string, at Position) bool {
	if at.Term != l.term || at.Cursor != "" || at.Number == 0 {
		return true
	}

	if at.Number >= l.number {
		return false
	}

	if l.commonChangedAt > at.Number || l.lostSubscription(proxy, at.Number) {
		return true
	}

	return slices.ContainsFunc(l.ownParts(proxy), func(name string) bool {
		needed := l.parts[name]

		return needed.changedAt > at.Number || needed.neededSince(proxy) > at.Number
	})
}

// lostSubscription reports whether a view after the given one has ended a subscription of a proxy.
func (l *Log) lostSubscription(proxy string, number uint64) bool {
	return max(l.lostAt[""], l.lostAt[proxy]) > number
}

// Delta returns what leads a proxy's replica from the given position to the current view, or as far as a piece goes.
func (l *Log) Delta(proxy string, from Position) (*Delta, error) {
	own := l.ownParts(proxy)
	current := Position{Term: l.term, Number: l.number, Digest: l.commonDigest}

	for _, name := range own {
		current.Digest += l.parts[name].digest
	}

	if from.Term != l.term || from.Number > l.number {
		if from.Number > 0 && from.Cursor == "" && from.Digest == current.Digest {
			return &Delta{From: from, To: current}, nil
		}

		from = Position{}
	}

	delta := &Delta{From: from, To: current}

	if from.Number > 0 && l.lostSubscription(proxy, from.Number) {
		delta.LimitOwn, delta.Own = true, slices.Clone(own)
	}

	parts := own
	if from.Number == 0 || from.Cursor != "" || l.commonChangedAt > from.Number {
		parts = slices.Concat(l.common, own)
	}

	return delta, l.addChanges(delta, proxy, parts)
}

// addChanges adds to a delta the changes of the given parts, up to the size of a piece.
func (l *Log) addChanges(delta *Delta, proxy string, parts []string) error {
	size, from := 0, delta.From
	common, commonSize := 0, 0

	for i, name := range parts {
		held := from.Number > 0 && (from.Cursor == "" || name <= from.Cursor)

		encoded, err := l.changeOf(name, proxy, from, held)
		if err != nil {
			return err
		}

		if encoded == nil {
			continue
		}

		if size += len(encoded); !held && size > pieceBytes && len(delta.Changes) > 0 {
			delta.To.Cursor, delta.To.Digest = parts[i-1], 0

			break
		}

		delta.Changes = append(delta.Changes, encoded)

		if strings.HasPrefix(name, commonPrefix) {
			common, commonSize = len(delta.Changes), size
		}
	}

	if commonSize < compressFrom {
		return nil
	}

	return l.compressCommon(delta, common)
}

// compressCommon compresses the given number of first changes of a delta, which are of parts for all proxies.
func (l *Log) compressCommon(delta *Delta, count int) error {
	key := pieceKey{since: delta.From.Number, from: delta.From.Cursor, to: delta.To.Cursor}

	known, found := l.compressed[key]
	if !found {
		var err error
		if known, err = compress(delta.Changes[:count]); err != nil {
			return err
		}

		l.compressed[key] = known
	}

	delta.Compressed, delta.Changes = known, delta.Changes[count:]

	return nil
}

// changeOf returns the encoded change of a part since a position, or nil if there is none. The replica holds the part as
// it was at that position if held is true and it has needed the part since then.
func (l *Log) changeOf(name, proxy string, from Position, held bool) (cbor.RawMessage, error) {
	needed := l.parts[name]
	if !held || needed.neededSince(proxy) > from.Number {
		return l.encode(name, 0)
	}

	if needed.changedAt <= from.Number {
		return nil, nil
	}

	return l.encode(name, from.Number)
}

// encode returns the encoded change of a part since a view; zero stands for the whole part.
func (l *Log) encode(name string, since uint64) (cbor.RawMessage, error) {
	source := l.parts[name]
	if since < source.forgottenUpTo {
		since = 0
	}

	key := changeKey{name, since}
	if known, found := l.encoded[key]; found {
		return known, nil
	}

	changed := change{Part: name, Whole: since == 0}

	for _, entryName := range slices.Sorted(maps.Keys(source.entries)) {
		if value := source.entries[entryName]; since == 0 || value.changedAt > since {
			changed.Entries = append(changed.Entries, entry{Name: entryName, Value: value.value})
		}
	}

	for entryName, at := range source.removed {
		if since > 0 && at > since {
			changed.Removed = append(changed.Removed, entryName)
		}
	}

	encoded, err := cbor.Marshal(changed)
	if err != nil {
		return nil, eris.Wrap(err, "encode a change of the view")
	}

	l.encoded[key] = encoded

	return encoded, nil
}
