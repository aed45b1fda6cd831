package proxy

import (
	"bytes"
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/result"
	"almondgrade/core/statement"
)

// simple serves a message of the simple protocol.
func (s *session) simple(body []byte) error {
	if s.batch != nil {
		return result.New(result.Protocol, "a simple query arrived within a batch of the extended protocol")
	}

	text, _, found := bytes.Cut(body, []byte{0})
	if !found {
		return errMessage('Q')
	}

	r := &request{text: string(text)}
	r.statements = statement.Classify(r.text)

	if len(r.statements) == 0 {
		if err := s.caller.Send(&pgproto3.EmptyQueryResponse{}); err != nil {
			return err
		}

		return s.ready()
	}

	// What the proxy answers itself may come first in a text, as programs that send one text for each run do it.
	for len(r.statements) > 0 && s.local(&r.statements[0]) {
		if err := s.withDeadline(func(ctx context.Context) error { return s.localQuery(ctx, &r.statements[0]) }); err != nil {
			return s.refuse(err, true)
		}

		r.statements = r.statements[1:]
		r.text = textOf(r.statements)
	}

	if len(r.statements) == 0 {
		return s.ready()
	}

	if err := s.unsupported(r.statements); err != nil {
		return s.refuse(err, true)
	}

	r.class = classify(r.statements)

	return s.serve(r)
}

// textOf joins statements.
func textOf(statements []statement.Statement) string {
	var text []byte

	for i := range statements {
		if i > 0 {
			text = append(text, "; "...)
		}

		text = append(text, statements[i].Text...)
	}

	return string(text)
}

// withDeadline runs a function that may ask a server on behalf of the caller.
func (s *session) withDeadline(run func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(s.server.stopped, s.deadlineOf(s.rule()))
	defer cancel()

	return run(ctx)
}

// unsupported refuses statements that the proxy can't keep its promises for.
func (s *session) unsupported(statements []statement.Statement) error {
	for i := range statements {
		one := &statements[i]

		switch {
		case s.local(one):
			return result.New(result.NotSupported, "%.40q is answered by the proxy and must come first or alone", one.Text)
		case one.Kind == statement.Set && one.Name == "standard_conforming_strings":
			// The lexer relies on it.
			return result.New(result.NotSupported, "standard_conforming_strings can't be changed")
		}
	}

	return nil
}

// extended collects a message of the extended protocol.
func (s *session) extended(kind byte, body []byte) error {
	if s.batch == nil {
		s.batch = &batch{}
	}

	s.batch.items = append(s.batch.items, item{kind: kind, body: bytes.Clone(body)})
	s.batch.size += len(body)

	if s.batch.size <= batchLimit {
		return nil
	}

	return s.dispatch()
}

// boundary serves Sync and Flush.
func (s *session) boundary(kind byte) error {
	if kind == 'S' {
		if s.discarding {
			s.discarding, s.batch = false, nil

			return s.ready()
		}

		if s.batch == nil {
			return s.ready()
		}

		s.batch.synced = true
	}

	if s.batch == nil || s.discarding {
		return nil
	}

	s.batch.items = append(s.batch.items, item{kind: kind})

	return s.dispatch()
}

// dispatch runs the batch that was collected.
func (s *session) dispatch() error {
	collected := s.batch
	s.batch = nil

	r := &request{batch: collected}

	local, err := s.examine(r)
	if err == nil && local {
		err = s.withDeadline(func(ctx context.Context) error { return s.localBatch(ctx, collected.items) })
		if err == nil && collected.synced {
			s.endPortals()

			return s.ready()
		}

		if err == nil {
			return s.flush()
		}
	}

	if err != nil {
		if result.CodeOf(err) == result.Protocol {
			return err
		}

		return s.refuse(err, collected.synced)
	}

	return s.serve(r)
}

// endPortals forgets the portals, which end with the transaction.
func (s *session) endPortals() {
	if s.status == statusIdle {
		clear(s.portals)
	}
}

// examine collects the statements of a batch and reports whether the proxy answers all of it.
//
//nolint:gocyclo // One case for each kind of message.
func (s *session) examine(r *request) (bool, error) {
	known := make(map[string]*prepared)
	portals := make(map[string]*prepared)
	locals, others := 0, 0

	count := func(one *prepared) {
		first := one.first()

		switch {
		case first != nil && s.local(first) || first == nil && (s.lost || s.replay != nil):
			locals++
		default:
			others++
		}
	}

	find := func(name string) *prepared {
		if found := known[name]; found != nil {
			return found
		}

		return s.prepared[name]
	}

	for i := range r.batch.items {
		switch one := &r.batch.items[i]; one.kind {
		case 'P':
			name, rest, err := cutName('P', one.body)
			if err != nil {
				return false, err
			}

			parsed, err := newPrepared(rest)
			if err != nil {
				return false, err
			}

			one.parsed = parsed
			known[name] = parsed
			r.statements = append(r.statements, parsed.statements...)

			count(parsed)
		case 'B':
			portal, rest, err := cutName('B', one.body)
			if err != nil {
				return false, err
			}

			name, _, err := cutName('B', rest)
			if err != nil {
				return false, err
			}

			if found := find(name); found != nil {
				portals[portal] = found

				if known[name] == nil {
					r.statements = append(r.statements, found.statements...)

					count(found)
				}
			} else {
				others++
			}
		case 'D', 'C':
			if len(one.body) > 1 && one.body[0] == 'S' {
				if found := find(string(one.body[1 : len(one.body)-1])); found != nil && one.kind == 'D' {
					r.statements = append(r.statements, found.statements...)

					count(found)
				} else if one.kind == 'D' {
					others++
				}
			}
		case 'E':
			portal, _, err := cutName('E', one.body)
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

	if s.lost || s.replay != nil {
		return true, nil
	}

	if locals > 0 && others > 0 {
		return false, result.New(result.NotSupported,
			"a statement that the proxy answers can't be part of a batch with other statements")
	}

	if locals > 0 || len(r.statements) == 0 && others == 0 && r.batch.synced && !r.executes && s.held == nil {
		return true, nil
	}

	if err := s.unsupported(r.statements); err != nil {
		return false, err
	}

	r.class = classify(r.statements)
	if !r.batch.synced && s.status == statusIdle {
		// What else the batch holds is not known yet.
		r.class = classWrite
	}

	return false, nil
}
