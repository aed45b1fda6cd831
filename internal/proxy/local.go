package proxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/statement"
)

// Command tags that the proxy itself answers with.
const (
	tagBegin    = "BEGIN"
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSet      = "SET"
	tagReset    = "RESET"
	tagShow     = "SHOW"
)

const (
	// textOID is the type of the columns that the proxy answers with.
	textOID      = 25
	textSize     = -1
	textModifier = -1

	applicationParameter = "application_name"
)

// reply is the answer to a statement that needs no backend server.
type reply struct {
	column string
	value  string
	tag    string
	notice *pgproto3.NoticeResponse
}

// local reports whether the proxy answers a statement itself.
func (s *session) local(one *statement.Statement) bool {
	if s.lost || s.replay != nil || one.IsProxyParameter() {
		return true
	}

	switch one.Kind {
	case statement.Set, statement.Show, statement.Reset:
		return one.Name == applicationParameter
	case statement.Deallocate:
		return !s.pinned && (one.All || s.prepared[one.Name] != nil)
	case statement.Discard:
		return !s.pinned && s.status == statusIdle && one.Name == "all"
	default:
		return false
	}
}

// localText reports whether the proxy answers the statement of a Parse message itself.
func (s *session) localText(body []byte) bool {
	_, rest, _ := bytes.Cut(body, []byte{0})
	text, _, _ := bytes.Cut(rest, []byte{0})

	// Most texts name nothing that the proxy answers.
	for _, one := range statement.Classify(string(text)) {
		if s.local(&one) {
			return true
		}
	}

	return false
}

// answer runs a local statement.
func (s *session) answer(ctx context.Context, one *statement.Statement) (reply, error) {
	switch {
	case s.lost:
		return s.answerLost(one)
	case s.replay != nil && !one.IsProxyParameter():
		return s.replay.next(s, one), nil
	case one.IsProxyParameter():
		return s.answerOwn(ctx, one)
	}

	switch one.Kind {
	case statement.Set:
		s.application = one.Literal

		return reply{tag: tagSet}, s.caller.Send(&pgproto3.ParameterStatus{Name: applicationParameter, Value: s.application})
	case statement.Reset:
		s.application = s.startup[applicationParameter]

		return reply{tag: tagReset}, s.caller.Send(&pgproto3.ParameterStatus{Name: applicationParameter, Value: s.application})
	case statement.Show:
		return reply{column: one.Name, value: s.application, tag: tagShow}, nil
	case statement.Deallocate:
		if one.All {
			clear(s.prepared)

			return reply{tag: "DEALLOCATE ALL"}, nil
		}

		delete(s.prepared, one.Name)

		return reply{tag: "DEALLOCATE"}, nil
	default:
		clear(s.prepared)
		s.parameters.clear()

		return reply{tag: "DISCARD ALL"}, nil
	}
}

// answerLost answers a statement of a transaction whose connection was lost.
func (s *session) answerLost(one *statement.Statement) (reply, error) {
	if one.Kind == statement.Commit || one.Kind == statement.Rollback {
		s.lost, s.status = false, statusIdle

		return reply{tag: tagRollback}, nil
	}

	return reply{}, &sqlError{
		code: "25P02", text: "current transaction is aborted, commands ignored until end of transaction block",
	}
}

func (s *session) answerOwn(ctx context.Context, one *statement.Statement) (reply, error) {
	name := strings.TrimPrefix(one.Name, statement.ParameterPrefix)

	switch one.Kind {
	case statement.Set:
		return reply{tag: tagSet}, s.setOwn(name, one.Literal)
	case statement.Reset:
		return reply{tag: tagReset}, s.setOwn(name, "")
	default:
	}

	shown := reply{column: one.Name, tag: tagShow}

	switch name {
	case "token":
		shown.value = s.token.String()
	case "session":
		shown.value = "shared"
		if s.anchored {
			shown.value = sessionConnection
		}
	case "request":
		shown.value = s.request
	case "outcome":
		var err error
		if shown.value, err = s.outcome(ctx); err != nil {
			return reply{}, err
		}
	default:
		return reply{}, errParameter(name)
	}

	return shown, nil
}

func errParameter(name string) error {
	//nolint:misspell // The text is PostgreSQL's.
	return &sqlError{code: "42704", text: "unrecognized configuration parameter \"" + statement.ParameterPrefix + name + "\""}
}

// requestBytes bounds the name of a request, which is the key of a table.
const requestBytes = 200

// setOwn sets one of the proxy's own parameters.
func (s *session) setOwn(name, value string) error {
	switch name {
	case "token":
		token, err := position.ParseToken(value)
		if err != nil {
			return result.New(result.TokenDamaged, "%w", err)
		}

		s.token.Merge(token)
		s.anchored, s.begun = value != "", value != ""
	case "session":
		switch value {
		case sessionConnection:
			s.anchored = true
		case "shared", "":
			s.anchored = false
		default:
			return &sqlError{code: "22023", text: "almondgrade.session must be connection or shared"}
		}
	case "request":
		if s.status != statusIdle {
			return result.New(result.NotSupported, "almondgrade.request must be set before the transaction")
		}

		if len(value) > requestBytes {
			return &sqlError{code: "22023", text: "almondgrade.request is longer than " + strconv.Itoa(requestBytes) + " bytes"}
		}

		s.request = value
		if value != "" {
			s.last = value
		}
	default:
		return errParameter(name)
	}

	return nil
}

// sendReply sends the rows and the tag of a local answer.
func (s *session) sendReply(given reply) error {
	if given.notice != nil {
		if err := s.caller.Send(given.notice); err != nil {
			return err
		}
	}

	if given.column != "" {
		if err := s.caller.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(given.value)}}); err != nil {
			return err
		}
	}

	return s.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(given.tag)})
}

func rowDescription(column string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(column), DataTypeOID: textOID, DataTypeSize: textSize, TypeModifier: textModifier,
	}}}
}

// localQuery answers one statement of a simple query.
func (s *session) localQuery(ctx context.Context, one *statement.Statement) error {
	given, err := s.answer(ctx, one)
	if err != nil {
		return err
	}

	if given.column != "" {
		if err := s.caller.Send(rowDescription(given.column)); err != nil {
			return err
		}
	}

	return s.sendReply(given)
}

// localBatch answers the messages of a batch that needs no backend server.
func (s *session) localBatch(ctx context.Context, items []item) error {
	for _, one := range items {
		if err := s.localItem(ctx, one); err != nil {
			return err
		}
	}

	return nil
}

func (s *session) localItem(ctx context.Context, one item) error {
	switch one.kind {
	case 'P':
		name, rest, err := cutName('P', one.body)
		if err != nil {
			return err
		}

		parsed := one.parsed
		if parsed == nil {
			if parsed, err = newPrepared(rest); err != nil {
				return err
			}
		}

		s.prepared[name] = parsed

		return s.caller.Send(&pgproto3.ParseComplete{})
	case 'B':
		portal, rest, err := cutName('B', one.body)
		if err != nil {
			return err
		}

		name, _, err := cutName('B', rest)
		if err != nil {
			return err
		}

		if s.prepared[name] == nil {
			return &sqlError{code: "26000", text: "prepared statement \"" + name + "\" does not exist"}
		}

		s.setPortal(portal, s.prepared[name])

		return s.caller.Send(&pgproto3.BindComplete{})
	case 'D':
		return s.localDescribe(one.body)
	case 'E':
		portal, _, err := cutName('E', one.body)
		if err != nil {
			return err
		}

		return s.localExecute(ctx, portal)
	case 'C':
		name, _, err := cutName('C', one.body[min(1, len(one.body)):])
		if err != nil {
			return err
		}

		if one.body[0] == 'S' {
			delete(s.prepared, name)
		}

		return s.caller.Send(&pgproto3.CloseComplete{})
	}

	return nil
}

func (s *session) localExecute(ctx context.Context, portal string) error {
	bound := s.portals[portal]
	if bound == nil {
		return &sqlError{code: "34000", text: "portal \"" + portal + "\" does not exist"}
	}

	first := bound.first()
	if first == nil {
		return s.caller.Send(&pgproto3.EmptyQueryResponse{})
	}

	given, err := s.answer(ctx, first)
	if err != nil {
		return err
	}

	return s.sendReply(given)
}

func (s *session) localDescribe(body []byte) error {
	if len(body) == 0 {
		return errMessage('D')
	}

	name, _, err := cutName('D', body[1:])
	if err != nil {
		return err
	}

	described := s.portals[name]

	if body[0] == 'S' {
		if described = s.prepared[name]; described == nil {
			return &sqlError{code: "26000", text: "prepared statement \"" + name + "\" does not exist"}
		}

		if err := s.caller.Send(&pgproto3.ParameterDescription{ParameterOIDs: described.parameterTypes()}); err != nil {
			return err
		}
	}

	if described != nil {
		if first := described.first(); first != nil && first.Kind == statement.Show && (first.IsProxyParameter() || first.Name == applicationParameter) {
			return s.caller.Send(rowDescription(first.Name))
		}
	}

	return s.caller.Send(&pgproto3.NoData{})
}

// parameterTypes returns the types of the parameters as far as the caller named them, for an answer that uses none of
// the values. A type of zero lets the caller choose.
func (p *prepared) parameterTypes() []uint32 {
	const countBytes, typeBytes = 2, 4

	types := make([]uint32, statement.HighestParameter(p.text()))
	_, given, _ := bytes.Cut(p.body, []byte{0})

	if len(given) < countBytes {
		return types
	}

	given = given[countBytes:]
	for i := range types {
		if len(given) < typeBytes {
			break
		}

		types[i] = binary.BigEndian.Uint32(given)
		given = given[typeBytes:]
	}

	return types
}

func (p *prepared) text() string {
	text, _, _ := bytes.Cut(p.body, []byte{0})

	return string(text)
}

func (s *session) setPortal(name string, bound *prepared) {
	if s.portals == nil {
		s.portals = make(map[string]*prepared)
	}

	s.portals[name] = bound
}
