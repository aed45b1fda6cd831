package standin

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// runCopy runs COPY ... FROM STDIN or COPY ... TO STDOUT in the text format.
func (s *session) runCopy(st *statement) error {
	if s.tx.aborted {
		return errorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}

	s.ensureTransaction()

	if st.hasKeyword("binary") || st.hasKeyword("csv") {
		return errorf(stateNotSupported, "COPY is supported in the text format only")
	}

	target, rest := splitCopyTarget(st.words[1:])

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

	if !s.tx.inBlock {
		if err := s.commit(); err != nil {
			return err
		}
	}

	s.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", count)})

	return nil
}

// splitCopyTarget splits the words after COPY into the target (a table with its columns, or a query) and the rest,
// which begins with FROM or TO.
func splitCopyTarget(words []token) (target, rest []token) {
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

// copyIn inserts the lines that the client sends and returns their number.
func (s *session) copyIn(target []token) (int64, error) {
	probe, err := s.runInternal("SELECT * FROM " + strings.Split(joinTokens(target), "(")[0] + " LIMIT 0")
	if err != nil {
		return 0, err
	}

	columns := countCopyColumns(target)
	if columns == 0 {
		columns = len(probe.columns)
	}

	probe.close()
	s.releaseSlot()
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, columns)})

	if err := s.backend.Flush(); err != nil {
		return 0, err
	}

	placeholders := make([]string, columns)
	for i := range placeholders {
		placeholders[i] = fmt.Sprintf("$%d", i+1)
	}

	insert := "INSERT INTO " + joinTokens(target) + " VALUES (" + strings.Join(placeholders, ", ") + ")"

	return s.receiveCopyLines(insert, columns)
}

// countCopyColumns counts the columns that a COPY names, or returns zero if it names none.
func countCopyColumns(target []token) int {
	count := 0

	for _, t := range target {
		if t.is("(", ",") {
			count++
		}
	}

	return count
}

func (s *session) receiveCopyLines(insert string, columns int) (int64, error) {
	var (
		buffer    []byte
		count     int64
		insertErr error
	)

	for {
		message, err := s.backend.Receive()
		if err != nil {
			return 0, &sqlError{stateProtocolViolation, err.Error(), true}
		}

		switch message := message.(type) {
		case *pgproto3.CopyData:
			buffer = append(buffer, message.Data...)

			for insertErr == nil {
				line, rest, found := bytes.Cut(buffer, []byte("\n"))
				if !found {
					break
				}

				if string(line) != `\.` {
					count++
					insertErr = s.insertCopyLine(insert, string(line), columns)
				}

				buffer = rest
			}
		case *pgproto3.CopyDone:
			if insertErr == nil && len(buffer) > 0 {
				count++
				insertErr = s.insertCopyLine(insert, string(buffer), columns)
			}

			return count, insertErr
		case *pgproto3.CopyFail:
			return 0, errorf(stateCancelled, "COPY from stdin failed: %s", message.Message)
		}
	}
}

func (s *session) insertCopyLine(insert, line string, columns int) error {
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

// copyOut sends the rows of a table or query as lines and returns their number.
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

	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(cur.columns))})

	escape := strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

	for {
		values, err := cur.next()
		if err != nil {
			return 0, err
		}

		if values == nil {
			s.backend.Send(&pgproto3.CopyDone{})
			return cur.rowCount, nil
		}

		fields := make([]string, len(values))
		for i, value := range values {
			fields[i] = `\N`
			if value != nil {
				fields[i] = escape.Replace(formatText(value, cur.columns[i].oid))
			}
		}

		s.backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})

		if err := s.backend.Flush(); err != nil {
			return 0, err
		}
	}
}

// runInternal runs a statement that the server itself issues, in the session's transaction.
func (s *session) runInternal(sql string, args ...any) (*cursor, error) {
	st, err := analyse(splitTokens(sql)[0])
	if err != nil {
		return nil, err
	}

	st.hasCost = true // The enclosing COPY is charged its own cost.

	return s.openSQL(st, args)
}
