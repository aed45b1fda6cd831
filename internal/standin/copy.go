package standin

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copy runs COPY ... FROM STDIN or COPY ... TO STDOUT in the text format.
func (s *session) copy(st *statement) error {
	if s.tx.failed {
		return errorf(stateFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}

	s.begin()

	if st.has("binary") || st.has("csv") {
		return errorf(stateNotSupported, "COPY is supported in the text format only")
	}

	target, rest := copyTarget(st.words[1:])

	var (
		count int64
		err   error
	)

	switch {
	case len(rest) > 1 && rest[0].is("from") && rest[1].is("stdin"):
		count, err = s.copyIn(target)
	case len(rest) > 1 && rest[0].is("to") && rest[1].is("stdout"):
		count, err = s.copyOut(target)
	default:
		err = errorf(stateNotSupported, "COPY is supported with STDIN and STDOUT only")
	}

	s.releaseSlot()

	if err != nil {
		return err
	}

	if !s.tx.block {
		if err := s.commit(); err != nil {
			return err
		}
	}

	s.back.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", count)})

	return nil
}

// copyTarget returns the table with its columns or the query, and the words after it.
func copyTarget(words []token) (target, rest []token) {
	depth := 0

	for i, t := range words {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth == 0 && t.is("from", "to"):
			return words[:i], words[i:]
		}
	}

	return words, nil
}

func joinTokens(words []token) string {
	parts := make([]string, len(words))
	for i, t := range words {
		parts[i] = t.raw
	}

	return strings.Join(parts, " ")
}

// copyIn inserts the lines that the client sends.
func (s *session) copyIn(target []token) (int64, error) {
	probe, err := s.runInternal("SELECT * FROM " + strings.Split(joinTokens(target), "(")[0] + " LIMIT 0")
	if err != nil {
		return 0, err
	}

	columns := copyColumns(target)
	if columns == 0 {
		columns = len(probe.columns)
	}

	probe.close()
	s.releaseSlot()
	s.back.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, columns)})

	if err := s.back.Flush(); err != nil {
		return 0, err
	}

	marks := make([]string, columns)
	for i := range marks {
		marks[i] = fmt.Sprintf("$%d", i+1)
	}

	insert := "INSERT INTO " + joinTokens(target) + " VALUES (" + strings.Join(marks, ", ") + ")"

	return s.receiveLines(insert, columns)
}

// copyColumns counts the columns that a COPY names, or returns zero if it names none.
func copyColumns(target []token) int {
	count := 0

	for _, t := range target {
		if t.is("(", ",") {
			count++
		}
	}

	return count
}

func (s *session) receiveLines(insert string, columns int) (int64, error) {
	var (
		buffer  []byte
		count   int64
		problem error
	)

	for {
		message, err := s.back.Receive()
		if err != nil {
			return 0, &sqlError{stateProtocol, err.Error(), true}
		}

		switch message := message.(type) {
		case *pgproto3.CopyData:
			buffer = append(buffer, message.Data...)

			for problem == nil {
				line, rest, found := bytes.Cut(buffer, []byte("\n"))
				if !found {
					break
				}

				if string(line) != `\.` {
					count++
					problem = s.insertLine(insert, string(line), columns)
				}

				buffer = rest
			}
		case *pgproto3.CopyDone:
			if problem == nil && len(buffer) > 0 {
				count++
				problem = s.insertLine(insert, string(buffer), columns)
			}

			return count, problem
		case *pgproto3.CopyFail:
			return 0, errorf(stateCancelled, "COPY from stdin failed: %s", message.Message)
		}
	}
}

func (s *session) insertLine(insert, line string, columns int) error {
	fields := strings.Split(line, "\t")
	if len(fields) != columns {
		return errorf("22P04", "COPY line has %d columns, want %d", len(fields), columns)
	}

	args := make([]any, columns)
	for i, field := range fields {
		if field != `\N` {
			args[i] = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r").Replace(field)
		}
	}

	cur, err := s.runInternal(insert, args...)
	if err == nil {
		cur.close()
	}

	return err
}

// copyOut sends the rows of a table or query as lines.
func (s *session) copyOut(target []token) (int64, error) {
	query := joinTokens(target)
	if !target[0].is("(") {
		name, columns, found := strings.Cut(query, "(")
		if !found {
			columns = "*"
		}

		query = "SELECT " + strings.TrimSuffix(columns, ")") + " FROM " + name
	} else {
		query = joinTokens(target[1 : len(target)-1])
	}

	cur, err := s.runInternal(query)
	if err != nil {
		return 0, err
	}
	defer cur.close()

	s.back.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(cur.columns))})

	escape := strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

	for {
		values, err := cur.next()
		if err != nil {
			return 0, err
		}

		if values == nil {
			s.back.Send(&pgproto3.CopyDone{})
			return cur.count, nil
		}

		fields := make([]string, len(values))
		for i, value := range values {
			fields[i] = `\N`
			if value != nil {
				fields[i] = escape.Replace(textForm(value, cur.columns[i].oid))
			}
		}

		s.back.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})

		if err := s.back.Flush(); err != nil {
			return 0, err
		}
	}
}

// runInternal runs a statement of the server's own within the session's transaction.
func (s *session) runInternal(sql string, args ...any) (*cursor, error) {
	st, err := analyse(split(sql)[0])
	if err != nil {
		return nil, err
	}

	st.hasCost = true // It is part of a statement that has its own cost.

	return s.openSQL(st, args)
}
