package standin

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// preparedStatement is a prepared statement of the extended protocol.
type preparedStatement struct {
	st            *statement
	parameterOIDs []uint32
	columns       []column
	described     bool
}

// portal is a prepared statement that is bound to parameter values.
type portal struct {
	prepared *preparedStatement
	args     []any
	formats  []int16
	cursor   *cursor
}

func uint32FromKey(key []byte) uint32 {
	return binary.BigEndian.Uint32(key)
}

func keyFromUint32(key uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, key)
}

func (s *session) handleParse(message *pgproto3.Parse) error {
	parts := splitTokens(message.Query)
	if len(parts) > 1 {
		return errorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}

	if len(parts) == 0 {
		parts = [][]token{nil}
	}

	st, err := analyse(parts[0])
	if err != nil {
		return err
	}

	if message.Name != "" && s.preparedStatements[message.Name] != nil {
		return errorf("42P05", "prepared statement %q already exists", message.Name)
	}

	if s.tx.aborted && st.verb != verbRollback && st.verb != verbCommit {
		return errorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}

	prepared := &preparedStatement{st: st, parameterOIDs: st.parameterOIDs(message.ParameterOIDs)}

	if _, err := s.columnInfo(st.rewriteFor(s)); err != nil {
		return err
	}

	s.inferParameterTypes(prepared)

	s.preparedStatements[message.Name] = prepared
	s.backend.Send(&pgproto3.ParseComplete{})

	return nil
}

// parameterOIDs returns the types of a statement's parameters. A declared type takes precedence over a cast; the type
// is zero if it is unknown.
func (st *statement) parameterOIDs(declared []uint32) []uint32 {
	var types []uint32

	for i, t := range st.words {
		if t.kind != tokenParameter {
			continue
		}

		n := int(parseIntOrZero(t.raw[1:]))
		if n < 1 || n > 1<<16 {
			continue
		}

		for len(types) < n {
			types = append(types, 0)
		}

		if st.wordAt(i + 1).is("::") {
			types[n-1] = typeOID(st.wordAt(i + 2).raw)
		}

		if st.wordAt(i-1).is("limit", "offset") {
			types[n-1] = oidInt8
		}
	}

	for i, oid := range declared {
		if i >= len(types) {
			types = append(types, 0)
		}

		if oid != 0 {
			types[i] = oid
		}
	}

	return types
}

// rewriteFor returns the SQLite text of a statement, or an empty string if SQLite does not execute it.
func (st *statement) rewriteFor(s *session) string {
	if !st.runsInSQLite() || st.words[0].is("lock") {
		return ""
	}

	return st.rewrite(s.env.key)
}

// inferParameterTypes gives each parameter of unknown type the type of the column that it is stored in or compared
// with.
func (s *session) inferParameterTypes(p *preparedStatement) {
	table, columns := p.st.targetTable()

	if table == "" || !slices.Contains(p.parameterOIDs, 0) {
		return
	}

	if len(columns) == 1 && columns[0] == "*" {
		columns = s.columnNames(table)
	}

	// valueIndex is the index of the current value in a row of VALUES.
	valueIndex, depth := 0, 0

	for i, t := range p.st.words {
		switch {
		case t.is("("):
			if depth++; depth == 1 {
				valueIndex = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			valueIndex++
		case t.kind == tokenParameter:
			name := ""

			if p.st.wordAt(i-1).is("=", "<", ">") {
				name = p.st.wordAt(i - 2).raw
			} else if depth == 1 && valueIndex < len(columns) && p.st.wordAt(i-1).is("(", ",") && p.st.wordAt(i+1).is(")", ",") {
				name = columns[valueIndex]
			}

			p.setTypeIfUnknown(t, func() uint32 { return s.columnType(table, name) })
		}
	}
}

// setTypeIfUnknown sets the type of a parameter if it is unknown.
func (p *preparedStatement) setTypeIfUnknown(t token, find func() uint32) {
	if n := int(parseIntOrZero(t.raw[1:])); n >= 1 && n <= len(p.parameterOIDs) && p.parameterOIDs[n-1] == 0 {
		p.parameterOIDs[n-1] = find()
	}
}

// targetTable returns the first table that a statement names and, for an INSERT, the columns that it fills ("*" for
// all).
func (st *statement) targetTable() (table string, columns []string) {
	for i, t := range st.words {
		if !t.is("from", "into") && (i > 0 || !t.is("update")) {
			continue
		}

		i++
		if st.wordAt(i).is("public") {
			i += 2
		}

		if table = st.wordAt(i).raw; !st.words[0].is("insert") {
			return table, nil
		}

		if !st.wordAt(i + 1).is("(") {
			return table, []string{"*"}
		}

		for i += 2; st.wordAt(i).raw != "" && !st.wordAt(i).is(")"); i++ {
			if !st.wordAt(i).is(",") {
				columns = append(columns, st.wordAt(i).raw)
			}
		}

		return table, columns
	}

	return "", nil
}

func (s *session) columnNames(table string) []string {
	info, err := s.columnInfo("SELECT * FROM " + table)
	if err != nil {
		return nil
	}

	names := make([]string, len(info))
	for i, column := range info {
		names[i] = column.Name
	}

	return names
}

// columnType returns the type of a table's column, or zero if it can't be found.
func (s *session) columnType(table, column string) uint32 {
	if column == "" {
		return 0
	}

	info, err := s.columnInfo("SELECT " + column + " FROM " + table)
	if err != nil || len(info) != 1 || info[0].DeclType == "" {
		return 0
	}

	return typeOID(info[0].DeclType)
}

// columnInfo returns SQLite's description of a query's columns without running it.
func (s *session) columnInfo(query string) ([]sqlite.ColumnInfo, error) {
	if query == "" {
		return nil, nil
	}

	var info []sqlite.ColumnInfo

	err := s.sqliteConn.Raw(func(conn any) error {
		describer, ok := conn.(interface {
			ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
		})
		if !ok {
			return errorf(stateInternal, "the SQLite driver does not describe columns")
		}

		var err error
		info, err = describer.ColumnInfo(query)

		return err
	})

	return info, err
}

// describeStatement determines the columns of a statement before it runs.
func (s *session) describeStatement(p *preparedStatement) error {
	if p.described {
		return nil
	}

	switch {
	case p.st.verb == verbShow:
		p.columns = []column{{strings.ToLower(settingValue(p.st.words[1:])), oidText}}
	case p.st.returnsRows:
		info, err := s.columnInfo(p.st.rewriteFor(s))
		if err != nil {
			return err
		}

		samples := s.sampleRow(p, len(info))
		p.columns = make([]column, len(info))

		for i, column := range info {
			p.columns[i] = describeColumn(column.Name, column.DeclType, samples[i])
		}
	}

	p.described = true

	return nil
}

// sampleRow reads the first row of a query with NULL parameters, to determine the types of its expressions. Queries
// that mention pg_ functions or views are not run, since their calls could have side effects.
func (s *session) sampleRow(p *preparedStatement, columns int) []any {
	row, targets := make([]any, columns), make([]any, columns)
	for i := range row {
		targets[i] = &row[i]
	}

	if p.st.verb != verbRead || strings.Contains(strings.ToLower(p.st.raw), "pg_") {
		return row
	}

	args := make([]any, len(p.parameterOIDs))
	for i, oid := range p.parameterOIDs {
		if oid == oidInt8 {
			args[i] = int64(1) // NULL is not a valid LIMIT.
		}
	}

	rows, err := s.sqliteConn.QueryContext(context.Background(), p.st.rewrite(s.env.key), args...)
	if err != nil {
		return row
	}
	defer func() { _ = rows.Close() }()

	if rows.Next() {
		_ = rows.Scan(targets...)
	}

	_ = rows.Err()

	return row
}

func (s *session) handleBind(message *pgproto3.Bind) error {
	p := s.preparedStatements[message.PreparedStatement]
	if p == nil {
		return errorf(stateNoStatement, "prepared statement %q does not exist", message.PreparedStatement)
	}

	if len(message.Parameters) != len(p.parameterOIDs) {
		return errorf(stateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(message.Parameters), message.PreparedStatement, len(p.parameterOIDs))
	}

	args := make([]any, len(message.Parameters))

	for i, value := range message.Parameters {
		var err error
		if args[i], err = decodeValue(value, p.parameterOIDs[i], formatCode(message.ParameterFormatCodes, i)); err != nil {
			return err
		}
	}

	s.closeStatementOrPortal('P', message.DestinationPortal)
	s.portals[message.DestinationPortal] = &portal{
		prepared: p, args: args, formats: slices.Clone(message.ResultFormatCodes),
	}
	s.backend.Send(&pgproto3.BindComplete{})

	return nil
}

func (s *session) handleDescribe(message *pgproto3.Describe) error {
	var (
		p       *preparedStatement
		formats []int16
	)

	if message.ObjectType == 'S' {
		if p = s.preparedStatements[message.Name]; p == nil {
			return errorf(stateNoStatement, "prepared statement %q does not exist", message.Name)
		}

		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameterOIDs})
	} else {
		boundPortal := s.portals[message.Name]
		if boundPortal == nil {
			return errorf(stateNoPortal, "portal %q does not exist", message.Name)
		}

		p, formats = boundPortal.prepared, boundPortal.formats
	}

	if err := s.describeStatement(p); err != nil {
		return err
	}

	if p.columns == nil {
		s.backend.Send(&pgproto3.NoData{})
	} else {
		s.backend.Send(rowDescription(p.columns, formats))
	}

	return nil
}

func (s *session) handleExecute(message *pgproto3.Execute) error {
	p := s.portals[message.Portal]
	if p == nil {
		return errorf(stateNoPortal, "portal %q does not exist", message.Portal)
	}

	if p.prepared.st.verb == verbCopy {
		return s.runCopy(p.prepared.st)
	}

	if p.cursor == nil {
		// The types of the rows must equal those that Describe returns.
		if err := s.describeStatement(p.prepared); err != nil {
			return err
		}

		cur, err := s.openStatement(p.prepared.st, p.args)
		if err != nil {
			return err
		}

		if len(cur.columns) == len(p.prepared.columns) {
			cur.columns = p.prepared.columns
		}

		p.cursor = cur
	} else if p.cursor.ctx != nil {
		if err := s.acquireSlot(p.cursor.ctx, true); err != nil {
			return err
		}
	}

	all, err := s.sendRows(p.cursor, p.formats, message.MaxRows)
	if err != nil {
		return err
	}

	s.releaseSlot()

	switch {
	case !all:
		s.backend.Send(&pgproto3.PortalSuspended{})
	case p.prepared.st.tag == "":
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	default:
		p.cursor.close()
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.cursor.tag())})
	}

	return nil
}

// handleSync commits an implicit transaction and sends ReadyForQuery.
func (s *session) handleSync() error {
	if !s.tx.inBlock && s.tx.started {
		if err := s.commit(); err != nil {
			if err := s.reportError(err); err != nil {
				return err
			}
		}
	}

	s.releaseSlot()

	return s.sendReady()
}

func (s *session) closeStatementOrPortal(kind byte, name string) {
	if kind == 'S' {
		delete(s.preparedStatements, name)
		return
	}

	if p := s.portals[name]; p != nil {
		if p.cursor != nil {
			p.cursor.close()
		}

		delete(s.portals, name)
	}
}

func (s *session) closePortals() {
	for name := range s.portals {
		s.closeStatementOrPortal('P', name)
	}
}
