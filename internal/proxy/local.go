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

// Command tags in the proxy's own answers.
const (
	tagBegin    = "BEGIN"
	tagCommit   = "COMMIT"
	tagRollback = "ROLLBACK"
	tagSet      = "SET"
	tagReset    = "RESET"
	tagShow     = "SHOW"
)

const (
	// textOID is the type of the columns in the proxy's own answers.
	textOID      = 25
	textSize     = -1
	textModifier = -1

	applicationParameter = "application_name"
)

// reply is the proxy's own answer to a statement.
type reply struct {
	column string
	value  string
	tag    string
	notice *pgproto3.NoticeResponse
}

// isLocal reports whether the proxy answers a statement itself.
func (s *session) isLocal(stmt *statement.Statement) bool {
	if s.transactionLost || s.replay != nil || stmt.IsProxyParameter() {
		return true
	}

	switch stmt.Kind {
	case statement.Set, statement.Show, statement.Reset:
		return stmt.Name == applicationParameter
	case statement.Deallocate:
		return !s.pinned && (stmt.All || s.prepared[stmt.Name] != nil)
	case statement.Discard:
		return !s.pinned && s.status == statusIdle && stmt.Name == "all"
	default:
		return false
	}
}

// isLocalParse reports whether the proxy answers the statement of a Parse message itself.
func (s *session) isLocalParse(body []byte) bool {
	_, rest, _ := bytes.Cut(body, []byte{0})
	text, _, _ := bytes.Cut(rest, []byte{0})

	// Most texts hold no statement that the proxy answers.
	for _, stmt := range statement.Classify(string(text)) {
		if s.isLocal(&stmt) {
			return true
		}
	}

	return false
}

// answerLocal returns the reply to a statement that the proxy answers itself, and applies its effect.
func (s *session) answerLocal(ctx context.Context, stmt *statement.Statement) (reply, error) {
	switch {
	case s.transactionLost:
		return s.answerLost(stmt)
	case s.replay != nil && !stmt.IsProxyParameter():
		return s.replay.nextReply(s, stmt), nil
	case stmt.IsProxyParameter():
		return s.answerProxyParameter(ctx, stmt)
	}

	switch stmt.Kind {
	case statement.Set:
		if !stmt.HasLiteral {
			return reply{}, errNoLiteral(stmt)
		}

		s.application = stmt.Literal

		return reply{tag: tagSet}, s.caller.Send(&pgproto3.ParameterStatus{Name: applicationParameter, Value: s.application})
	case statement.Reset:
		s.application = s.startupParameters[applicationParameter]

		return reply{tag: tagReset}, s.caller.Send(&pgproto3.ParameterStatus{Name: applicationParameter, Value: s.application})
	case statement.Show:
		return reply{column: stmt.Name, value: s.application, tag: tagShow}, nil
	case statement.Deallocate:
		if stmt.All {
			clear(s.prepared)

			return reply{tag: "DEALLOCATE ALL"}, nil
		}

		delete(s.prepared, stmt.Name)

		return reply{tag: "DEALLOCATE"}, nil
	default:
		clear(s.prepared)
		s.parameters.clear()

		return reply{tag: "DISCARD ALL"}, nil
	}
}

// answerLost answers a statement of a transaction whose connection was lost.
func (s *session) answerLost(stmt *statement.Statement) (reply, error) {
	if stmt.Kind == statement.Commit || stmt.Kind == statement.Rollback {
		s.transactionLost, s.status = false, statusIdle

		return reply{tag: tagRollback}, nil
	}

	return reply{}, &sqlError{
		code: "25P02", text: "current transaction is aborted, commands ignored until end of transaction block",
	}
}

// errNoLiteral is the error for an assignment whose value the proxy does not know.
func errNoLiteral(stmt *statement.Statement) error {
	return &sqlError{code: "22023", text: stmt.Name + " must be set to one constant without escapes by number"}
}

func (s *session) answerProxyParameter(ctx context.Context, stmt *statement.Statement) (reply, error) {
	name := strings.TrimPrefix(stmt.Name, statement.ParameterPrefix)

	switch stmt.Kind {
	case statement.Set:
		if !stmt.HasLiteral {
			return reply{}, errNoLiteral(stmt)
		}

		return reply{tag: tagSet}, s.setProxyParameter(name, stmt.Literal)
	case statement.Reset:
		return reply{tag: tagReset}, s.setProxyParameter(name, "")
	default:
	}

	shown := reply{column: stmt.Name, tag: tagShow}

	switch name {
	case "token":
		shown.value = s.token.String()
	case "session":
		shown.value = "shared"
		if s.floorFromToken {
			shown.value = sessionConnection
		}
	case "request":
		shown.value = s.requestName
	case "outcome":
		var err error
		if shown.value, err = s.outcome(ctx); err != nil {
			return reply{}, err
		}
	default:
		return reply{}, errUnknownParameter(name)
	}

	return shown, nil
}

func errUnknownParameter(name string) error {
	//nolint:misspell // The text is PostgreSQL's.
	return &sqlError{code: "42704", text: "unrecognized configuration parameter \"" + statement.ParameterPrefix + name + "\""}
}

// maxRequestNameBytes bounds the name of a request, which is a primary key.
const maxRequestNameBytes = 200

// setProxyParameter sets one of the proxy's own parameters.
func (s *session) setProxyParameter(name, value string) error {
	switch name {
	case "token":
		token, err := position.ParseToken(value)
		if err != nil {
			return result.New(result.TokenDamaged, "%w", err)
		}

		s.token.Merge(token)
		s.floorFromToken, s.floorKnown = value != "", value != ""
	case "session":
		switch value {
		case sessionConnection:
			s.floorFromToken = true
		case "shared", "":
			s.floorFromToken = false
		default:
			return &sqlError{code: "22023", text: "almondgrade.session must be connection or shared"}
		}
	case "request":
		if s.status != statusIdle {
			return result.New(result.NotSupported, "almondgrade.request must be set before the transaction")
		}

		if len(value) > maxRequestNameBytes {
			return &sqlError{code: "22023", text: "almondgrade.request is longer than " + strconv.Itoa(maxRequestNameBytes) + " bytes"}
		}

		s.requestName = value
		if value != "" {
			s.lastRequestName = value
		}
	default:
		return errUnknownParameter(name)
	}

	return nil
}

// sendReply sends the notice, the row and the command tag of a reply.
func (s *session) sendReply(answer reply) error {
	if answer.notice != nil {
		if err := s.caller.Send(answer.notice); err != nil {
			return err
		}
	}

	if answer.column != "" {
		if err := s.caller.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(answer.value)}}); err != nil {
			return err
		}
	}

	return s.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
}

func rowDescription(column string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(column), DataTypeOID: textOID, DataTypeSize: textSize, TypeModifier: textModifier,
	}}}
}

// answerLocalQuery answers one statement of a simple query.
func (s *session) answerLocalQuery(ctx context.Context, stmt *statement.Statement) error {
	answer, err := s.answerLocal(ctx, stmt)
	if err != nil {
		return err
	}

	if answer.column != "" {
		if err := s.caller.Send(rowDescription(answer.column)); err != nil {
			return err
		}
	}

	return s.sendReply(answer)
}

// answerLocalBatch answers the messages of a batch that uses no backend server.
func (s *session) answerLocalBatch(ctx context.Context, items []batchMessage) error {
	for _, message := range items {
		if err := s.answerLocalMessage(ctx, message); err != nil {
			return err
		}
	}

	return nil
}

func (s *session) answerLocalMessage(ctx context.Context, message batchMessage) error {
	switch message.kind {
	case 'P':
		name, rest, err := cutName('P', message.body)
		if err != nil {
			return err
		}

		parsed := message.statement
		if parsed == nil {
			if parsed, err = newPrepared(rest); err != nil {
				return err
			}
		}

		s.prepared[name] = parsed

		return s.caller.Send(&pgproto3.ParseComplete{})
	case 'B':
		portal, rest, err := cutName('B', message.body)
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
		return s.answerLocalDescribe(message.body)
	case 'E':
		portal, _, err := cutName('E', message.body)
		if err != nil {
			return err
		}

		return s.answerLocalExecute(ctx, portal)
	case 'C':
		name, _, err := cutName('C', message.body[min(1, len(message.body)):])
		if err != nil {
			return err
		}

		if message.body[0] == 'S' {
			delete(s.prepared, name)
		}

		return s.caller.Send(&pgproto3.CloseComplete{})
	}

	return nil
}

func (s *session) answerLocalExecute(ctx context.Context, portal string) error {
	bound := s.portals[portal]
	if bound == nil {
		return &sqlError{code: "34000", text: "portal \"" + portal + "\" does not exist"}
	}

	first := bound.firstStatement()
	if first == nil {
		return s.caller.Send(&pgproto3.EmptyQueryResponse{})
	}

	answer, err := s.answerLocal(ctx, first)
	if err != nil {
		return err
	}

	return s.sendReply(answer)
}

func (s *session) answerLocalDescribe(body []byte) error {
	if len(body) == 0 {
		return errMalformedMessage('D')
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
		if first := described.firstStatement(); first != nil && first.Kind == statement.Show && (first.IsProxyParameter() || first.Name == applicationParameter) {
			return s.caller.Send(rowDescription(first.Name))
		}
	}

	return s.caller.Send(&pgproto3.NoData{})
}

// parameterTypes returns the types of the parameters as far as the caller specified them, for an answer that uses none
// of the values. Type zero leaves the choice to the caller.
func (p *preparedStatement) parameterTypes() []uint32 {
	const countBytes, typeBytes = 2, 4

	types := make([]uint32, statement.HighestParameter(p.text()))
	_, declared, _ := bytes.Cut(p.parseBody, []byte{0})

	if len(declared) < countBytes {
		return types
	}

	declared = declared[countBytes:]
	for i := range types {
		if len(declared) < typeBytes {
			break
		}

		types[i] = binary.BigEndian.Uint32(declared)
		declared = declared[typeBytes:]
	}

	return types
}

func (p *preparedStatement) text() string {
	text, _, _ := bytes.Cut(p.parseBody, []byte{0})

	return string(text)
}

func (s *session) setPortal(name string, bound *preparedStatement) {
	if s.portals == nil {
		s.portals = make(map[string]*preparedStatement)
	}

	s.portals[name] = bound
}
