package backend

import "container/list"

// PreparedStatements tracks the prepared statements that a server holds for one connection, and selects the least
// recently used one for closing when there are too many. It is not safe for concurrent use.
type PreparedStatements struct {
	limit int
	order *list.List // The front is the most recently used name.
	names map[string]*list.Element
}

// NewPreparedStatements returns an empty set that holds at most limit statements.
func NewPreparedStatements(limit int) *PreparedStatements {
	return &PreparedStatements{limit: limit, order: list.New(), names: make(map[string]*list.Element)}
}

// MarkUsed reports whether the set holds a statement, and makes it the most recently used one.
func (p *PreparedStatements) MarkUsed(name string) bool {
	element, found := p.names[name]
	if found {
		p.order.MoveToFront(element)
	}

	return found
}

// Add adds a statement. It returns the name of the statement that has to be closed to keep the limit, or the empty
// string.
func (p *PreparedStatements) Add(name string) string {
	if p.MarkUsed(name) {
		return ""
	}

	p.names[name] = p.order.PushFront(name)

	if p.order.Len() <= p.limit {
		return ""
	}

	oldest := p.order.Back()
	evicted, _ := oldest.Value.(string)
	p.order.Remove(oldest)
	delete(p.names, evicted)

	return evicted
}

// Restore adds a statement again that was not closed as planned. It ignores the limit.
func (p *PreparedStatements) Restore(name string) {
	if !p.MarkUsed(name) {
		p.names[name] = p.order.PushFront(name)
	}
}

// Remove removes a statement.
func (p *PreparedStatements) Remove(name string) {
	if element, found := p.names[name]; found {
		p.order.Remove(element)
		delete(p.names, name)
	}
}

// Clear removes all statements.
func (p *PreparedStatements) Clear() {
	p.order.Init()
	clear(p.names)
}

// Len returns the number of statements in the set.
func (p *PreparedStatements) Len() int {
	return len(p.names)
}
