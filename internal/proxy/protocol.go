package proxy

import (
	"bytes"
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/result"
	"almondgrade/core/statement"
)

// handleSimpleQuery serves a Query message.
func (s *session) handleSimpleQuery(body []byte) error {
	if s.batch != nil {
		return result.New(result.Protocol, "a simple query arrived within a batch of the extended protocol")
	}

	text, _, found := bytes.Cut(body, []byte{0})
	if !found {
		return errMalformedMessage('Q')
	}

	r := &request{text: string(text)}
	r.statements = statement.Classify(r.text)

	if len(r.statements) == 0 {
		if err := s.caller.Send(&pgproto3.EmptyQueryResponse{}); err != nil {
			return err
		}

		return s.sendReady()
	}

	// Statements that the proxy answers itself may begin a text, because some programs send one text for each run.
	for len(r.statements) > 0 && s.isLocal(&r.statements[0]) {
		if err := s.withDeadline(func(ctx context.Context) error { return s.answerLocalQuery(ctx, &r.statements[0]) }); err != nil {
			return s.refuseRequest(err, true)
		}

		r.statements = r.statements[1:]
		r.text = joinStatements(r.statements)
	}

	if len(r.statements) == 0 {
		return s.sendReady()
	}

	if err := s.checkSupported(r.statements); err != nil {
		return s.refuseRequest(err, true)
	}

	r.class = classify(r.statements)

	return s.serveRequest(r)
}

// joinStatements returns the text of several statements.
func joinStatements(statements []statement.Statement) string {
	var text []byte

	for i := range statements {
		if i > 0 {
			text = append(text, "; "...)
		}

		text = append(text, statements[i].Text...)
	}

	return string(text)
}

// withDeadline runs a function that may query a server, within the request's timeout.
func (s *session) withDeadline(run func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(s.server.stopped, s.requestTimeout(s.trafficRule()))
	defer cancel()

	return run(ctx)
}

// checkSupported refuses statements for which the proxy can't keep its guarantees.
func (s *session) checkSupported(statements []statement.Statement) error {
	for i := range statements {
		stmt := &statements[i]

		switch {
		case s.isLocal(stmt):
			return result.New(result.NotSupported, "%.40q is answered by the proxy and must come first or alone", stmt.Text)
		case stmt.Kind == statement.Set && stmt.Name == "standard_conforming_strings":
			// The lexer relies on its default.
			return result.New(result.NotSupported, "standard_conforming_strings can't be changed")
		case stmt.ChangesReading:
			return result.New(result.NotSupported, "%.60q changes how texts are split into statements", stmt.Text)
		}
	}

	return nil
}

// collectMessage adds a message of the extended protocol to the batch and sends the batch once it is too large.
func (s *session) collectMessage(kind byte, body []byte) error {
	if s.batch == nil {
		s.batch = &batch{}
	}

	s.batch.messages = append(s.batch.messages, batchMessage{kind: kind, body: bytes.Clone(body)})
	s.batch.size += len(body)

	if s.batch.size <= maxBatchBytes {
		return nil
	}

	return s.dispatchBatch()
}

// handleSyncOrFlush serves Sync and Flush, which send the batch.
func (s *session) handleSyncOrFlush(kind byte) error {
	if kind == 'S' {
		if s.discardingUntilSync {
			s.discardingUntilSync, s.batch = false, nil

			return s.sendReady()
		}

		if s.batch == nil {
			return s.sendReady()
		}

		s.batch.synced = true
	}

	if s.batch == nil || s.discardingUntilSync {
		return nil
	}

	s.batch.messages = append(s.batch.messages, batchMessage{kind: kind})

	return s.dispatchBatch()
}

// dispatchBatch runs the collected batch.
func (s *session) dispatchBatch() error {
	collected := s.batch
	s.batch = nil

	r := &request{batch: collected}

	local, err := s.classifyBatch(r)
	if err == nil && local {
		err = s.withDeadline(func(ctx context.Context) error { return s.answerLocalBatch(ctx, collected.messages) })
		if err == nil && collected.synced {
			s.clearEndedPortals()

			return s.sendReady()
		}

		if err == nil {
			return s.flush()
		}
	}

	if err != nil {
		if result.CodeOf(err) == result.Protocol {
			return err
		}

		return s.refuseRequest(err, collected.synced)
	}

	return s.serveRequest(r)
}

// clearEndedPortals removes the portals outside a transaction, because they end with it.
func (s *session) clearEndedPortals() {
	if s.status == statusIdle {
		clear(s.portals)
	}
}

// classifyBatch collects the statements of a batch, sets its class and reports whether the proxy answers all of it.
//
//nolint:gocyclo // One case for each kind of message.
func (s *session) classifyBatch(r *request) (bool, error) {
	newStatements := make(map[string]*preparedStatement)
	portals := make(map[string]*preparedStatement)
	locals, others := 0, 0

	count := func(prepared *preparedStatement) {
		first := prepared.firstStatement()

		switch {
		case first != nil && s.isLocal(first) || first == nil && (s.transactionLost || s.replay != nil):
			locals++
		default:
			others++
		}
	}

	find := func(name string) *preparedStatement {
		if found := newStatements[name]; found != nil {
			return found
		}

		return s.prepared[name]
	}

	for i := range r.batch.messages {
		switch message := &r.batch.messages[i]; message.kind {
		case 'P':
			name, rest, err := cutName('P', message.body)
			if err != nil {
				return false, err
			}

			parsed, err := newPrepared(rest)
			if err != nil {
				return false, err
			}

			message.statement = parsed
			newStatements[name] = parsed
			r.statements = append(r.statements, parsed.statements...)

			count(parsed)
		case 'B':
			portal, rest, err := cutName('B', message.body)
			if err != nil {
				return false, err
			}

			name, _, err := cutName('B', rest)
			if err != nil {
				return false, err
			}

			if found := find(name); found != nil {
				portals[portal] = found

				if newStatements[name] == nil {
					r.statements = append(r.statements, found.statements...)

					count(found)
				}
			} else {
				others++
			}
		case 'D', 'C':
			if len(message.body) > 1 && message.body[0] == 'S' {
				if found := find(string(message.body[1 : len(message.body)-1])); found != nil && message.kind == 'D' {
					r.statements = append(r.statements, found.statements...)

					count(found)
				} else if message.kind == 'D' {
					others++
				}
			}
		case 'E':
			portal, _, err := cutName('E', message.body)
			if err != nil {
				return false, err
			}

			r.executes = true

			if portals[portal] == nil && s.portals[portal] != nil {
				r.statements = append(r.statements, s.portals[portal].statements...)

				count(s.portals[portal])
			}
		}
	}

	if s.transactionLost || s.replay != nil {
		return true, nil
	}

	if locals > 0 && others > 0 {
		return false, result.New(result.NotSupported,
			"a statement that the proxy answers can't be part of a batch with other statements")
	}

	if locals > 0 || len(r.statements) == 0 && others == 0 && r.batch.synced && !r.executes && s.lease == nil {
		return true, nil
	}

	if err := s.checkSupported(r.statements); err != nil {
		return false, err
	}

	r.class = classify(r.statements)
	if !r.batch.synced && s.status == statusIdle {
		// The rest of the batch is not known yet and may write.
		r.class = classWrite
	}

	return false, nil
}
