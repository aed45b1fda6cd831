package proxy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"almondgrade/core/result"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
)

// item is one message of a batch.
type item struct {
	kind byte
	body []byte
	// parsed is the statement of a Parse message, once it was read.
	parsed *prepared
}

// batch holds the messages of the extended protocol that were received and not yet sent.
type batch struct {
	items []item
	size  int
	// synced is true once Sync was received.
	synced bool
}

// prepared is a statement that the caller prepared.
type prepared struct {
	// shared is the name under which every backend connection knows the statement.
	shared string
	// body is the Parse message behind the statement's name: the text and the types of parameters.
	body       []byte
	statements []statement.Statement
}

const (
	// sharedPrefix begins the names of statements on backend connections.
	sharedPrefix = "agp_"
	// sharedBytes is the length of the digest in such a name; a collision would run another caller's statement.
	sharedBytes = 16
	// nothing is a name that no statement and no portal has. To close it has no effect but the answer.
	nothing = "agp_nothing"
)

// newPrepared reads the part of a Parse message behind the name.
func newPrepared(body []byte) (*prepared, error) {
	text, _, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, errMessage('P')
	}

	digest := sha256.Sum256(body)

	return &prepared{
		shared:     sharedPrefix + hex.EncodeToString(digest[:sharedBytes]),
		body:       bytes.Clone(body),
		statements: statement.Classify(string(text)),
	}, nil
}

// first returns the statement, or nil for an empty text. The extended protocol allows no more than one.
func (p *prepared) first() *statement.Statement {
	if len(p.statements) == 0 {
		return nil
	}

	return &p.statements[0]
}

func errMessage(kind byte) error {
	return result.New(result.Protocol, "message %q has a wrong format", kind)
}

// cutName splits the text before the first zero byte from a message.
func cutName(kind byte, body []byte) (string, []byte, error) {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return "", nil, errMessage(kind)
	}

	return string(name), rest, nil
}

// stepKind says which answer a step expects.
type stepKind uint8

const (
	stepParse stepKind = iota
	stepBind
	stepClose
	stepDescribe
	stepExecute
)

// step is one answer that the server owes.
type step struct {
	kind stepKind
	// swallow is true for an answer to a message that the caller did not send.
	swallow bool
	// name and statement belong to the caller's Parse; forget is true for the caller's Close of a statement.
	name      string
	statement *prepared
	forget    bool
	// added and dropped are names that the connection has gained or lost if the step succeeds.
	added   string
	dropped string
	// replaced is the command tag for the caller in place of the answer.
	replaced string
}

// plan turns the caller's messages of one batch into messages for one connection, and tells what each answer of the
// server belongs to. The methods may be called from two goroutines.
type plan struct {
	session *session
	conn    *backend.Conn

	mu     sync.Mutex
	steps  []step
	failed bool
	// known are the statements that the batch itself has prepared so far, portals those that its portals run.
	known   map[string]*prepared
	portals map[string]*prepared
	// begin is true if the first BEGIN was sent already, for the name of the request.
	begin bool
}

func newPlan(s *session, conn *backend.Conn, begin bool) *plan {
	return &plan{
		session: s, conn: conn, begin: begin,
		known: make(map[string]*prepared), portals: make(map[string]*prepared),
	}
}

// add appends one message of the caller to the connection's buffer.
func (p *plan) add(one item) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.failed && one.kind != 'S' {
		// The server ignores everything up to Sync.
		return nil
	}

	switch one.kind {
	case 'P':
		return p.parse(one)
	case 'B':
		return p.bind(one.body)
	case 'D':
		return p.describe(one.body)
	case 'E':
		return p.execute(one.body)
	case 'C':
		return p.close(one.body)
	}

	p.conn.SendRaw(one.kind, one.body)

	return nil
}

func (p *plan) parse(one item) error {
	body := one.body

	name, rest, err := cutName('P', body)
	if err != nil {
		return err
	}

	fresh := one.parsed
	if fresh == nil {
		if fresh, err = newPrepared(rest); err != nil {
			return err
		}
	}

	if name == "" {
		p.conn.SendRaw('P', body)
		p.steps = append(p.steps, step{kind: stepParse, statement: fresh})
		p.known[""] = fresh

		return nil
	}

	if present := p.find(name); present != nil {
		// The server reports the duplicate.
		p.hold(present)
		p.conn.SendRaw('P', join(present.shared, present.body))
		p.steps = append(p.steps, step{kind: stepParse})

		return nil
	}

	if p.conn.Prepared.MarkUsed(fresh.shared) {
		// It is prepared again so that the caller sees errors of the text as they are now.
		p.closeShared(fresh.shared)
	} else if evicted := p.conn.Prepared.Add(fresh.shared); evicted != "" {
		p.closeShared(evicted)
	}

	p.conn.SendRaw('P', join(fresh.shared, rest))
	p.steps = append(p.steps, step{kind: stepParse, name: name, statement: fresh, added: fresh.shared})
	p.known[name] = fresh

	return nil
}

// find returns a statement by the caller's name.
func (p *plan) find(name string) *prepared {
	if found, here := p.known[name]; here {
		return found
	}

	return p.session.prepared[name]
}

// hold prepares a statement on the connection if it is not there.
func (p *plan) hold(one *prepared) {
	if p.conn.Prepared.MarkUsed(one.shared) {
		return
	}

	if evicted := p.conn.Prepared.Add(one.shared); evicted != "" {
		p.closeShared(evicted)
	}

	p.conn.SendRaw('P', join(one.shared, one.body))
	p.steps = append(p.steps, step{kind: stepParse, swallow: true, added: one.shared})
}

func (p *plan) closeShared(name string) {
	p.conn.SendRaw('C', join("S"+name, nil))
	p.steps = append(p.steps, step{kind: stepClose, swallow: true, dropped: name})
}

// refer returns the name by which the connection knows one of the caller's statements. An unknown name is returned
// as it is, and the server reports it.
func (p *plan) refer(name string) (string, *prepared) {
	if name == "" {
		if known, here := p.known[""]; here {
			return "", known
		}

		// Prepared by an earlier batch, which may have used another connection.
		if earlier := p.session.prepared[""]; earlier != nil {
			p.conn.SendRaw('P', join("", earlier.body))
			p.steps = append(p.steps, step{kind: stepParse, swallow: true})
			p.known[""] = earlier

			return "", earlier
		}

		return "", nil
	}

	found := p.find(name)
	if found == nil {
		return name, nil
	}

	p.hold(found)

	return found.shared, found
}

func (p *plan) bind(body []byte) error {
	portal, rest, err := cutName('B', body)
	if err != nil {
		return err
	}

	name, rest, err := cutName('B', rest)
	if err != nil {
		return err
	}

	shared, found := p.refer(name)
	p.conn.SendRaw('B', join(portal, join(shared, rest)))
	p.steps = append(p.steps, step{kind: stepBind})
	p.portals[portal] = found

	return nil
}

func (p *plan) describe(body []byte) error {
	if len(body) == 0 {
		return errMessage('D')
	}

	if body[0] == 'S' {
		name, _, err := cutName('D', body[1:])
		if err != nil {
			return err
		}

		shared, _ := p.refer(name)
		body = join("S"+shared, nil)
	}

	p.conn.SendRaw('D', body)
	p.steps = append(p.steps, step{kind: stepDescribe})

	return nil
}

func (p *plan) execute(body []byte) error {
	portal, _, err := cutName('E', body)
	if err != nil {
		return err
	}

	found, here := p.portals[portal]
	if !here {
		found = p.session.portals[portal]
	}

	if found != nil && p.begin {
		if one := found.first(); one != nil && one.Kind == statement.Begin {
			p.begin = false
			p.conn.SendRaw('C', join("P"+nothing, nil))
			p.steps = append(p.steps, step{kind: stepExecute, statement: found, replaced: tagBegin})

			return nil
		}
	}

	p.conn.SendRaw('E', body)
	p.steps = append(p.steps, step{kind: stepExecute, statement: found})

	return nil
}

func (p *plan) close(body []byte) error {
	if len(body) == 0 {
		return errMessage('C')
	}

	name, _, err := cutName('C', body[1:])
	if err != nil {
		return err
	}

	if body[0] == 'S' {
		// The connection may keep the statement for other sessions.
		p.known[name] = nil
		body = join("S"+nothing, nil)
	}

	p.conn.SendRaw('C', body)
	p.steps = append(p.steps, step{kind: stepClose, name: name, forget: body[0] == 'S'})

	return nil
}

// answered returns and removes the step that a message of the server completes, or nil if it completes none.
func (p *plan) answered(kind byte) *step {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.steps) == 0 {
		return nil
	}

	front := p.steps[0]

	var completes bool

	switch front.kind {
	case stepParse:
		completes = kind == '1'
	case stepBind:
		completes = kind == '2'
	case stepClose:
		completes = kind == '3'
	case stepDescribe:
		completes = kind == 'T' || kind == 'n'
	case stepExecute:
		completes = kind == 'C' || kind == 's' || kind == 'I' || kind == '3' && front.replaced != ""
	}

	if !completes {
		return nil
	}

	p.steps = p.steps[1:]

	return &front
}

// fail notes that the server skips the rest of the batch: what the rest would have prepared or closed is not.
func (p *plan) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.failed = true

	for at := len(p.steps) - 1; at >= 0; at-- {
		if one := &p.steps[at]; one.added != "" {
			p.conn.Prepared.Remove(one.added)
		} else if one.dropped != "" {
			p.conn.Prepared.Restore(one.dropped)
		}
	}

	p.steps = nil
}

// join builds the body of a message from a name and what follows it.
func join(name string, rest []byte) []byte {
	body := make([]byte, 0, len(name)+1+len(rest))
	body = append(body, name...)
	body = append(body, 0)

	return append(body, rest...)
}
