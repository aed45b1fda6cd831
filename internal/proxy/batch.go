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

// batchMessage is a message of the extended protocol.
type batchMessage struct {
	kind byte
	body []byte
	// statement is the statement of a Parse message, once it was parsed.
	statement *preparedStatement
}

// batch holds the messages of the extended protocol that were received and not yet sent.
type batch struct {
	messages []batchMessage
	size     int
	// synced is true once Sync was received.
	synced bool
}

// preparedStatement is a statement that the caller prepared.
type preparedStatement struct {
	// sharedName is the statement's name on every backend connection.
	sharedName string
	// parseBody is the rest of the Parse message after the statement's name: the text and the types of parameters.
	parseBody  []byte
	statements []statement.Statement
}

const (
	// sharedPrefix is the prefix of the names of statements on backend connections.
	sharedPrefix = "agp_"
	// sharedDigestBytes is the length of the digest in such a name; a collision would run another caller's statement.
	sharedDigestBytes = 16
)

// newPrepared parses the rest of a Parse message after the statement's name.
func newPrepared(body []byte) (*preparedStatement, error) {
	text, _, found := bytes.Cut(body, []byte{0})
	if !found {
		return nil, errMalformedMessage('P')
	}

	digest := sha256.Sum256(body)

	return &preparedStatement{
		sharedName: sharedPrefix + hex.EncodeToString(digest[:sharedDigestBytes]),
		parseBody:  bytes.Clone(body),
		statements: statement.Classify(string(text)),
	}, nil
}

// firstStatement returns the statement, or nil for an empty text. The extended protocol allows only one in a Parse
// message.
func (p *preparedStatement) firstStatement() *statement.Statement {
	if len(p.statements) == 0 {
		return nil
	}

	return &p.statements[0]
}

func errMalformedMessage(kind byte) error {
	return result.New(result.Protocol, "message %q is malformed", kind)
}

// cutName splits a message after the name that it begins with, which ends with a zero byte.
func cutName(kind byte, body []byte) (string, []byte, error) {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return "", nil, errMalformedMessage(kind)
	}

	return string(name), rest, nil
}

// stepKind determines which answer a step expects.
type stepKind uint8

const (
	stepParse stepKind = iota
	stepBind
	stepClose
	stepDescribe
	stepExecute
)

// step is one expected answer of the server.
type step struct {
	kind stepKind
	// suppressed is true for an answer to a message that the caller did not send.
	suppressed bool
	// name and statement belong to the caller's Parse; deallocates is true for the caller's Close of a statement.
	name        string
	statement   *preparedStatement
	deallocates bool
	// addedName and removedName are statements that the connection has gained or lost if the step succeeds.
	addedName   string
	removedName string
	// replacementTag is the command tag that the caller gets instead of the answer.
	replacementTag string
}

// batchPlan translates the caller's messages of one batch into messages for one connection, and matches the server's
// answers to them. The methods may be called from two goroutines.
type batchPlan struct {
	session *session
	conn    *backend.Conn

	mu     sync.Mutex
	steps  []step
	failed bool
	// statements holds what the batch itself has prepared so far by name, portals the statements of its portals.
	statements map[string]*preparedStatement
	portals    map[string]*preparedStatement
	// beginSent is true if the first BEGIN was sent already, together with the request's name.
	beginSent bool
}

func newBatchPlan(s *session, conn *backend.Conn, beginSent bool) *batchPlan {
	return &batchPlan{
		session: s, conn: conn, beginSent: beginSent,
		statements: make(map[string]*preparedStatement), portals: make(map[string]*preparedStatement),
	}
}

// addMessage translates one message of the caller into the connection's buffer.
func (p *batchPlan) addMessage(message batchMessage) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.failed && message.kind != 'S' {
		// The server ignores everything up to Sync.
		return nil
	}

	switch message.kind {
	case 'P':
		return p.addParse(message)
	case 'B':
		return p.addBind(message.body)
	case 'D':
		return p.addDescribe(message.body)
	case 'E':
		return p.addExecute(message.body)
	case 'C':
		return p.addClose(message.body)
	}

	p.conn.SendRaw(message.kind, message.body)

	return nil
}

func (p *batchPlan) addParse(message batchMessage) error {
	body := message.body

	name, rest, err := cutName('P', body)
	if err != nil {
		return err
	}

	parsed := message.statement
	if parsed == nil {
		if parsed, err = newPrepared(rest); err != nil {
			return err
		}
	}

	if name == "" {
		p.conn.SendRaw('P', body)
		p.steps = append(p.steps, step{kind: stepParse, statement: parsed})
		p.statements[""] = parsed

		return nil
	}

	if existing := p.findStatement(name); existing != nil {
		// The server reports the duplicate.
		p.ensurePrepared(existing)
		p.conn.SendRaw('P', nameAndBody(existing.sharedName, existing.parseBody))
		p.steps = append(p.steps, step{kind: stepParse})

		return nil
	}

	if p.conn.Prepared.MarkUsed(parsed.sharedName) {
		// It is prepared again so that the caller gets the errors that the text causes now.
		p.closeShared(parsed.sharedName)
	} else if evicted := p.conn.Prepared.Add(parsed.sharedName); evicted != "" {
		p.closeShared(evicted)
	}

	p.conn.SendRaw('P', nameAndBody(parsed.sharedName, rest))
	p.steps = append(p.steps, step{kind: stepParse, name: name, statement: parsed, addedName: parsed.sharedName})
	p.statements[name] = parsed

	return nil
}

// findStatement returns the statement with the caller's name for it, or nil.
func (p *batchPlan) findStatement(name string) *preparedStatement {
	if found, inBatch := p.statements[name]; inBatch {
		return found
	}

	return p.session.prepared[name]
}

// ensurePrepared prepares a statement on the connection unless the connection has it.
func (p *batchPlan) ensurePrepared(prepared *preparedStatement) {
	if p.conn.Prepared.MarkUsed(prepared.sharedName) {
		return
	}

	if evicted := p.conn.Prepared.Add(prepared.sharedName); evicted != "" {
		p.closeShared(evicted)
	}

	p.conn.SendRaw('P', nameAndBody(prepared.sharedName, prepared.parseBody))
	p.steps = append(p.steps, step{kind: stepParse, suppressed: true, addedName: prepared.sharedName})
}

func (p *batchPlan) closeShared(name string) {
	p.conn.SendRaw('C', nameAndBody("S"+name, nil))
	p.steps = append(p.steps, step{kind: stepClose, suppressed: true, removedName: name})
}

// resolveName returns the name that one of the caller's statements has on the connection. An unknown name is returned
// unchanged, and the server reports it.
func (p *batchPlan) resolveName(name string) (string, *preparedStatement) {
	if name == "" {
		if known, inBatch := p.statements[""]; inBatch {
			return "", known
		}

		// An earlier batch prepared it, perhaps on another connection.
		if earlier := p.session.prepared[""]; earlier != nil {
			p.conn.SendRaw('P', nameAndBody("", earlier.parseBody))
			p.steps = append(p.steps, step{kind: stepParse, suppressed: true})
			p.statements[""] = earlier

			return "", earlier
		}

		return "", nil
	}

	found := p.findStatement(name)
	if found == nil {
		return name, nil
	}

	p.ensurePrepared(found)

	return found.sharedName, found
}

func (p *batchPlan) addBind(body []byte) error {
	portal, rest, err := cutName('B', body)
	if err != nil {
		return err
	}

	name, rest, err := cutName('B', rest)
	if err != nil {
		return err
	}

	shared, found := p.resolveName(name)
	p.conn.SendRaw('B', nameAndBody(portal, nameAndBody(shared, rest)))
	p.steps = append(p.steps, step{kind: stepBind})
	p.portals[portal] = found

	return nil
}

func (p *batchPlan) addDescribe(body []byte) error {
	if len(body) == 0 {
		return errMalformedMessage('D')
	}

	if body[0] == 'S' {
		name, _, err := cutName('D', body[1:])
		if err != nil {
			return err
		}

		shared, _ := p.resolveName(name)
		body = nameAndBody("S"+shared, nil)
	}

	p.conn.SendRaw('D', body)
	p.steps = append(p.steps, step{kind: stepDescribe})

	return nil
}

func (p *batchPlan) addExecute(body []byte) error {
	portal, _, err := cutName('E', body)
	if err != nil {
		return err
	}

	found, inBatch := p.portals[portal]
	if !inBatch {
		found = p.session.portals[portal]
	}

	if found != nil && p.beginSent {
		if stmt := found.firstStatement(); stmt != nil && stmt.Kind == statement.Begin {
			p.beginSent = false
			p.conn.SendRaw('C', nameAndBody("P"+backend.UnusedName, nil))
			p.steps = append(p.steps, step{kind: stepExecute, statement: found, replacementTag: tagBegin})

			return nil
		}
	}

	p.conn.SendRaw('E', body)
	p.steps = append(p.steps, step{kind: stepExecute, statement: found})

	return nil
}

func (p *batchPlan) addClose(body []byte) error {
	if len(body) == 0 {
		return errMalformedMessage('C')
	}

	name, _, err := cutName('C', body[1:])
	if err != nil {
		return err
	}

	if body[0] == 'S' {
		// The connection keeps the statement, because other sessions may use it.
		p.statements[name] = nil
		body = nameAndBody("S"+backend.UnusedName, nil)
	}

	p.conn.SendRaw('C', body)
	p.steps = append(p.steps, step{kind: stepClose, name: name, deallocates: body[0] == 'S'})

	return nil
}

// takeCompleted returns and removes the step that a message of the server completes, or nil if it completes none.
func (p *batchPlan) takeCompleted(kind byte) *step {
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
		completes = kind == 'C' || kind == 's' || kind == 'I' || kind == '3' && front.replacementTag != ""
	}

	if !completes {
		return nil
	}

	p.steps = p.steps[1:]

	return &front
}

// expectsPart reports whether a message belongs to the answer to the next step without completing it.
func (p *batchPlan) expectsPart(kind byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.steps) == 0 {
		return false
	}

	switch front := &p.steps[0]; front.kind {
	case stepDescribe:
		return kind == 't'
	case stepExecute:
		return front.replacementTag == "" && (kind == 'D' || kind == 'G' || kind == 'H' || kind == 'd' || kind == 'c')
	default:
		return false
	}
}

// isAnswered reports whether no further answer than ReadyForQuery is expected.
func (p *batchPlan) isAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.steps) == 0
}

// skipRest records that the server skips the rest of the batch, and undoes what the skipped messages would have
// changed in the connection's set of prepared statements.
func (p *batchPlan) skipRest() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.failed = true

	for at := len(p.steps) - 1; at >= 0; at-- {
		if pending := &p.steps[at]; pending.addedName != "" {
			p.conn.Prepared.Remove(pending.addedName)
		} else if pending.removedName != "" {
			p.conn.Prepared.Restore(pending.removedName)
		}
	}

	p.steps = nil
}

// nameAndBody returns the body of a message that consists of a name and the bytes after it.
func nameAndBody(name string, rest []byte) []byte {
	body := make([]byte, 0, len(name)+1+len(rest))
	body = append(body, name...)
	body = append(body, 0)

	return append(body, rest...)
}
