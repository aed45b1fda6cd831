package standin

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// prepared is a named statement.
type prepared struct {
	st         *statement
	parameters []uint32
	columns    []column
	described  bool
}

// portal is a prepared statement with its parameters.
type portal struct {
	prepared *prepared
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

func (s *session) parse(message *pgproto3.Parse) error {
	parts := split(message.Query)
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

	if message.Name != "" && s.statements[message.Name] != nil {
		return errorf("42P05", "prepared statement %q already exists", message.Name)
	}

	if s.tx.failed && st.verb != verbRollback && st.verb != verbCommit {
		return errorf(stateFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}

	made := &prepared{st: st, parameters: st.parameters(message.ParameterOIDs)}

	if _, err := s.columnInfo(st.rewriteFor(s)); err != nil {
		return err
	}

	s.inferParameters(made)

	s.statements[message.Name] = made
	s.back.Send(&pgproto3.ParseComplete{})

	return nil
}

// parameters returns the types of a statement's parameters: as declared, as cast, or zero if unknown.
func (st *statement) parameters(declared []uint32) []uint32 {
	var types []uint32

	for i, t := range st.words {
		if t.kind != parameter {
			continue
		}

		n := int(parseNumber(t.raw[1:]))
		if n < 1 || n > 1<<16 {
			continue
		}

		for len(types) < n {
			types = append(types, 0)
		}

		if st.at(i + 1).is("::") {
			types[n-1] = typeOID(st.at(i + 2).raw)
		}

		if st.at(i-1).is("limit", "offset") {
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

// rewriteFor returns the SQLite text of a statement, or nothing if SQLite does not run it.
func (st *statement) rewriteFor(s *session) string {
	if !st.runsSQL() || st.words[0].is("lock") {
		return ""
	}

	return st.rewrite(s.env.key)
}

// inferParameters gives parameters of unknown type the type of the column that they are stored in or compared with.
func (s *session) inferParameters(p *prepared) {
	table, columns := p.st.target()

	if table == "" || !slices.Contains(p.parameters, 0) {
		return
	}

	if len(columns) == 1 && columns[0] == "*" {
		columns = s.columnNames(table)
	}

	// place counts the values of a row of VALUES.
	place, depth := 0, 0

	for i, t := range p.st.words {
		switch {
		case t.is("("):
			if depth++; depth == 1 {
				place = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			place++
		case t.kind == parameter:
			name := ""

			if p.st.at(i-1).is("=", "<", ">") {
				name = p.st.at(i - 2).raw
			} else if depth == 1 && place < len(columns) && p.st.at(i-1).is("(", ",") && p.st.at(i+1).is(")", ",") {
				name = columns[place]
			}

			p.infer(t, func() uint32 { return s.columnType(table, name) })
		}
	}
}

// infer sets the type of a parameter if it is unknown.
func (p *prepared) infer(t token, find func() uint32) {
	if n := int(parseNumber(t.raw[1:])); n >= 1 && n <= len(p.parameters) && p.parameters[n-1] == 0 {
		p.parameters[n-1] = find()
	}
}

// target returns the first table that a statement names and the columns that an INSERT fills.
func (st *statement) target() (table string, columns []string) {
	for i, t := range st.words {
		if !t.is("from", "into") && (i > 0 || !t.is("update")) {
			continue
		}

		i++
		if st.at(i).is("public") {
			i += 2
		}

		if table = st.at(i).raw; !st.words[0].is("insert") {
			return table, nil
		}

		if !st.at(i + 1).is("(") {
			return table, []string{"*"}
		}

		for i += 2; st.at(i).raw != "" && !st.at(i).is(")"); i++ {
			if !st.at(i).is(",") {
				columns = append(columns, st.at(i).raw)
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
	for i, each := range info {
		names[i] = each.Name
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

	err := s.conn.Raw(func(conn any) error {
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

// describeStatement learns the columns of a statement before it runs.
func (s *session) describeStatement(p *prepared) error {
	if p.described {
		return nil
	}

	switch {
	case p.st.verb == verbShow:
		p.columns = []column{{strings.ToLower(settingValue(p.st.words[1:])), oidText}}
	case p.st.rows:
		info, err := s.columnInfo(p.st.rewriteFor(s))
		if err != nil {
			return err
		}

		samples := s.sampleRow(p, len(info))
		p.columns = make([]column, len(info))

		for i, each := range info {
			p.columns[i] = describeColumn(each.Name, each.DeclType, samples[i])
		}
	}

	p.described = true

	return nil
}

// sampleRow reads the first row of a query without parameters' values, to learn the types of expressions. The
// server's functions do nothing meanwhile.
func (s *session) sampleRow(p *prepared, columns int) []any {
	row, targets := make([]any, columns), make([]any, columns)
	for i := range row {
		targets[i] = &row[i]
	}

	if p.st.verb != verbRead || strings.Contains(strings.ToLower(p.st.raw), "pg_") {
		return row
	}

	args := make([]any, len(p.parameters))
	for i, oid := range p.parameters {
		if oid == oidInt8 {
			args[i] = int64(1) // NULL is no valid LIMIT.
		}
	}

	rows, err := s.conn.QueryContext(context.Background(), p.st.rewrite(s.env.key), args...)
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

func (s *session) bind(message *pgproto3.Bind) error {
	p := s.statements[message.PreparedStatement]
	if p == nil {
		return errorf(stateNoStatement, "prepared statement %q does not exist", message.PreparedStatement)
	}

	if len(message.Parameters) != len(p.parameters) {
		return errorf(stateProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(message.Parameters), message.PreparedStatement, len(p.parameters))
	}

	args := make([]any, len(message.Parameters))

	for i, value := range message.Parameters {
		var err error
		if args[i], err = decodeValue(value, p.parameters[i], formatOf(message.ParameterFormatCodes, i)); err != nil {
			return err
		}
	}

	s.closeNamed('P', message.DestinationPortal)
	s.portals[message.DestinationPortal] = &portal{
		prepared: p, args: args, formats: slices.Clone(message.ResultFormatCodes),
	}
	s.back.Send(&pgproto3.BindComplete{})

	return nil
}

func (s *session) describe(message *pgproto3.Describe) error {
	var (
		p       *prepared
		formats []int16
	)

	if message.ObjectType == 'S' {
		if p = s.statements[message.Name]; p == nil {
			return errorf(stateNoStatement, "prepared statement %q does not exist", message.Name)
		}

		s.back.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
	} else {
		found := s.portals[message.Name]
		if found == nil {
			return errorf(stateNoPortal, "portal %q does not exist", message.Name)
		}

		p, formats = found.prepared, found.formats
	}

	if err := s.describeStatement(p); err != nil {
		return err
	}

	if p.columns == nil {
		s.back.Send(&pgproto3.NoData{})
	} else {
		s.back.Send(rowDescription(p.columns, formats))
	}

	return nil
}

func (s *session) executePortal(message *pgproto3.Execute) error {
	p := s.portals[message.Portal]
	if p == nil {
		return errorf(stateNoPortal, "portal %q does not exist", message.Portal)
	}

	if p.prepared.st.verb == verbCopy {
		return s.copy(p.prepared.st)
	}

	if p.cursor == nil {
		// Types must be those of the description, if the client has asked for one.
		if err := s.describeStatement(p.prepared); err != nil {
			return err
		}

		cur, err := s.open(p.prepared.st, p.args)
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
		s.back.Send(&pgproto3.PortalSuspended{})
	case p.prepared.st.tag == "":
		s.back.Send(&pgproto3.EmptyQueryResponse{})
	default:
		p.cursor.close()
		s.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.cursor.tag())})
	}

	return nil
}

// sync ends an implicit transaction.
func (s *session) sync() error {
	if !s.tx.block && s.tx.begun {
		if err := s.commit(); err != nil {
			if err := s.fail(err); err != nil {
				return err
			}
		}
	}

	s.releaseSlot()

	return s.ready()
}

func (s *session) closeNamed(kind byte, name string) {
	if kind == 'S' {
		delete(s.statements, name)
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
		s.closeNamed('P', name)
	}
}
