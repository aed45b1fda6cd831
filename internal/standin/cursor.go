package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
)

// cursor is the result of a statement: its rows, if it has any, and its command tag.
type cursor struct {
	columns    []column
	rows       *sql.Rows
	staticRows [][]any
	// peekedRow is the first row, which is read ahead to determine the columns' types.
	peekedRow   []any
	done        bool
	rowCount    int64
	commandTag  string
	tagHasCount bool
	onClose     func()
	ctx         context.Context
}

func (c *cursor) tag() string {
	if !c.tagHasCount {
		return c.commandTag
	}

	return fmt.Sprintf("%s %d", c.commandTag, c.rowCount)
}

// next returns the next row, or nil at the end.
func (c *cursor) next() ([]any, error) {
	if c.ctx != nil && c.ctx.Err() != nil {
		return nil, context.Cause(c.ctx)
	}

	if c.peekedRow != nil {
		row := c.peekedRow
		c.peekedRow = nil
		c.rowCount++

		return row, nil
	}

	if c.rows == nil {
		if len(c.staticRows) == 0 {
			return nil, nil
		}

		row := c.staticRows[0]
		c.staticRows = c.staticRows[1:]
		c.rowCount++

		return row, nil
	}

	if c.done {
		return nil, nil
	}

	row, err := c.scanRow()
	if row != nil {
		c.rowCount++
	}

	return row, err
}

func (c *cursor) scanRow() ([]any, error) {
	if !c.rows.Next() {
		c.done = true
		err := c.rows.Err()

		if err != nil && c.ctx.Err() != nil {
			err = context.Cause(c.ctx)
		}

		return nil, err
	}

	row, targets := make([]any, len(c.columns)), make([]any, len(c.columns))
	for i := range row {
		targets[i] = &row[i]
	}

	return row, c.rows.Scan(targets...)
}

// close releases the rows and ends the statement. It may be called more than once.
func (c *cursor) close() {
	if c.rows != nil {
		_ = c.rows.Close()
	}

	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
}

// openStatement starts a statement and returns its result.
func (s *session) openStatement(st *statement, args []any) (*cursor, error) {
	if s.tx.aborted && st.verb != verbRollback && st.verb != verbCommit {
		return nil, errorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}

	switch {
	case st.is(verbBegin, verbCommit, verbRollback, verbSavepoint):
		tag, err := s.controlTransaction(st)
		return &cursor{commandTag: tag}, err
	case st.runsInSQLite():
		s.ensureTransaction()
		return s.openSQL(st, args)
	default:
		s.ensureTransaction()
		return s.openUtility(st)
	}
}

func (s *session) openUtility(st *statement) (*cursor, error) {
	var err error

	cur := &cursor{commandTag: st.tag}

	switch st.verb {
	case verbSet:
		err = s.runSet(st)
	case verbReset:
		err = s.resetParameter(settingValue(st.words[1:]))
	case verbDiscard:
		cur.commandTag = "DISCARD ALL"
		err = s.discardAll()
	case verbAlterSystem:
		err = s.runAlterSystem(st)
	case verbShow:
		var value string

		name := settingValue(st.words[1:])
		if strings.EqualFold(name, "transactionisolationlevel") {
			name = "transaction_isolation"
		}

		value, err = s.parameterValue(name)
		cur.columns = []column{{strings.ToLower(name), oidText}}
		cur.staticRows = [][]any{{value}}
	case verbIgnored:
		if len(st.words) > 0 && st.words[0].is("deallocate") {
			s.deallocate(st)
		}
	default:
		err = errorf(stateNotSupported, "%s is not supported", st.tag)
	}

	return cur, err
}

func (s *session) deallocate(st *statement) {
	name := st.words[len(st.words)-1]
	if name.is("all") {
		clear(s.preparedStatements)
	} else {
		delete(s.preparedStatements, strings.Trim(name.raw, `"`))
	}
}

// openSQL starts a statement that SQLite executes.
func (s *session) openSQL(st *statement, args []any) (*cursor, error) {
	s.srv.member.statementCounts.increment(s.application)

	ctx, finish := s.startStatement(st.raw)

	cur, err := s.runSQL(ctx, st, args)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}

		finish()

		return nil, err
	}

	cur.onClose = finish

	return cur, nil
}

func (s *session) runSQL(ctx context.Context, st *statement, args []any) (*cursor, error) {
	if err := s.prepareToRun(ctx, st); err != nil {
		return nil, err
	}

	if st.words[0].is("lock") {
		return &cursor{commandTag: st.tag}, nil
	}

	seed := newSeed()
	s.env.seed(seed)
	s.env.now, s.env.ctx = s.tx.now, ctx
	cur := &cursor{commandTag: st.tag, tagHasCount: st.tagHasCount, ctx: ctx}
	query := st.rewrite(s.env.key)

	if err := cur.execute(ctx, s.sqliteConn, st, query, args); err != nil {
		return nil, err
	}

	if st.verb == verbWrite {
		s.recordChange(st, args, seed)
	}

	if st.verb == verbTempTable {
		s.recordTemporaryTable(st)
	}

	return cur, nil
}

// prepareToRun waits until a statement may run: it acquires a slot, spends the cost of the statement, and opens the
// SQLite transaction and acquires the writer lock if the statement needs them.
func (s *session) prepareToRun(ctx context.Context, st *statement) error {
	if err := s.acquireSlot(ctx, false); err != nil {
		return err
	}

	if !s.srv.member.faults.waitThawed(ctx.Done()) {
		return context.Cause(ctx)
	}

	cost := s.srv.member.options.StatementCost
	if st.hasCost {
		cost = st.cost
	}

	if err := sleep(ctx, cost); err != nil {
		return err
	}

	if s.tx.snapshotIsolation {
		if err := s.beginSQLite(ctx, "BEGIN"); err != nil {
			return err
		}
	}

	if st.verb == verbWrite || st.locksRows {
		return s.beginWrite(ctx, st.tag)
	}

	return nil
}

func (c *cursor) execute(ctx context.Context, conn *sql.Conn, st *statement, query string, args []any) error {
	if !st.returnsRows {
		result, err := conn.ExecContext(ctx, query, args...)
		if err != nil {
			return err
		}

		c.rowCount, err = result.RowsAffected()

		return err
	}

	rows, err := conn.QueryContext(ctx, query, args...)
	if err != nil {
		return err
	}

	c.rows = rows

	if err := c.describeColumns(); err != nil {
		return errors.Join(err, rows.Close())
	}

	return nil
}

func (c *cursor) describeColumns() error {
	types, err := c.rows.ColumnTypes()
	if err != nil {
		return err
	}

	c.columns = make([]column, len(types))

	if c.peekedRow, err = c.scanRow(); err != nil {
		return err
	}

	for i, columnType := range types {
		var sample any
		if c.peekedRow != nil {
			sample = c.peekedRow[i]
		}

		c.columns[i] = describeColumn(columnType.Name(), columnType.DatabaseTypeName(), sample)
	}

	return nil
}

func (s *session) recordTemporaryTable(st *statement) {
	for i, t := range st.words {
		if !t.is("table") {
			continue
		}

		i++
		for st.wordAt(i).is("if", "not", "exists") {
			i++
		}

		s.temporaryTables[strings.ToLower(strings.Trim(st.wordAt(i).raw, `"`))] = true

		return
	}
}
