package backend

import "container/list"

// Prepared tracks the statements that a server holds for one connection, and chooses which to drop when there are
// too many. It is not safe for concurrent use.
type Prepared struct {
	limit int
	order *list.List // Front is the most recently used name.
	names map[string]*list.Element
}

// NewPrepared returns an empty set of at most limit statements.
func NewPrepared(limit int) *Prepared {
	return &Prepared{limit: limit, order: list.New(), names: make(map[string]*list.Element)}
}

// Use reports whether a statement is held, and marks it as used.
func (p *Prepared) Use(name string) bool {
	element, found := p.names[name]
	if found {
		p.order.MoveToFront(element)
	}

	return found
}

// Add notes a statement and returns the name of the one that has to be closed to make room, or the empty text.
func (p *Prepared) Add(name string) string {
	if p.Use(name) {
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

// Restore notes a statement without regard to the limit, after it was not closed as planned.
func (p *Prepared) Restore(name string) {
	if !p.Use(name) {
		p.names[name] = p.order.PushFront(name)
	}
}

// Remove forgets a statement.
func (p *Prepared) Remove(name string) {
	if element, found := p.names[name]; found {
		p.order.Remove(element)
		delete(p.names, name)
	}
}

// Clear forgets all statements.
func (p *Prepared) Clear() {
	p.order.Init()
	clear(p.names)
}

// Len returns the number of statements held.
func (p *Prepared) Len() int {
	return len(p.names)
}
