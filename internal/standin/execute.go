package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
)

// cursor is the answer to a statement: its rows, if it has any, and its tag.
type cursor struct {
	columns []column
	rows    *sql.Rows
	static  [][]any
	// first is the row that was read ahead to learn the columns' types.
	first   []any
	done    bool
	count   int64
	command string
	counted bool
	finish  func()
	ctx     context.Context
}

func (c *cursor) tag() string {
	if !c.counted {
		return c.command
	}

	return fmt.Sprintf("%s %d", c.command, c.count)
}

// next returns the next row, or nil at the end.
func (c *cursor) next() ([]any, error) {
	if c.ctx != nil && c.ctx.Err() != nil {
		return nil, context.Cause(c.ctx)
	}

	if c.first != nil {
		row := c.first
		c.first = nil
		c.count++

		return row, nil
	}

	if c.rows == nil {
		if len(c.static) == 0 {
			return nil, nil
		}

		row := c.static[0]
		c.static = c.static[1:]
		c.count++

		return row, nil
	}

	if c.done {
		return nil, nil
	}

	row, err := c.read()
	if row != nil {
		c.count++
	}

	return row, err
}

func (c *cursor) read() ([]any, error) {
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

// close may be called more than once.
func (c *cursor) close() {
	if c.rows != nil {
		_ = c.rows.Close()
	}

	if c.finish != nil {
		c.finish()
		c.finish = nil
	}
}

// open starts a statement.
func (s *session) open(st *statement, args []any) (*cursor, error) {
	if s.tx.failed && st.verb != verbRollback && st.verb != verbCommit {
		return nil, errorf(stateFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}

	switch {
	case st.is(verbBegin, verbCommit, verbRollback, verbSavepoint):
		tag, err := s.control(st)
		return &cursor{command: tag}, err
	case st.runsSQL():
		s.begin()
		return s.openSQL(st, args)
	default:
		s.begin()
		return s.openUtility(st)
	}
}

func (s *session) openUtility(st *statement) (*cursor, error) {
	var err error

	cur := &cursor{command: st.tag}

	switch st.verb {
	case verbSet:
		err = s.setStatement(st)
	case verbReset:
		err = s.reset(settingValue(st.words[1:]))
	case verbDiscard:
		cur.command = "DISCARD ALL"
		err = s.discardAll()
	case verbSystem:
		err = s.systemStatement(st)
	case verbShow:
		var value string

		name := settingValue(st.words[1:])
		if strings.EqualFold(name, "transactionisolationlevel") {
			name = "transaction_isolation"
		}

		value, err = s.show(name)
		cur.columns = []column{{strings.ToLower(name), oidText}}
		cur.static = [][]any{{value}}
	case verbNothing:
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
		clear(s.statements)
	} else {
		delete(s.statements, strings.Trim(name.raw, `"`))
	}
}

// openSQL starts a statement that SQLite runs.
func (s *session) openSQL(st *statement, args []any) (*cursor, error) {
	s.srv.member.statements.add(s.application)

	ctx, finish := s.startStatement(st.raw)

	cur, err := s.runSQL(ctx, st, args)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}

		finish()

		return nil, err
	}

	cur.finish = finish

	return cur, nil
}

func (s *session) runSQL(ctx context.Context, st *statement, args []any) (*cursor, error) {
	if err := s.prepareToRun(ctx, st); err != nil {
		return nil, err
	}

	if st.words[0].is("lock") {
		return &cursor{command: st.tag}, nil
	}

	seed := newSeed()
	s.env.seed(seed)
	s.env.now, s.env.ctx = s.tx.now, ctx
	cur := &cursor{command: st.tag, counted: st.counted, ctx: ctx}
	query := st.rewrite(s.env.key)

	if err := cur.start(ctx, s.conn, st, query, args); err != nil {
		return nil, err
	}

	if st.verb == verbWrite {
		s.logChange(st, args, seed)
	}

	if st.verb == verbTemp {
		s.noteTemporary(st)
	}

	return cur, nil
}

// prepareToRun waits for all that a statement needs: a slot, its cost in time, and the right to write.
func (s *session) prepareToRun(ctx context.Context, st *statement) error {
	if err := s.acquireSlot(ctx, false); err != nil {
		return err
	}

	if !s.srv.member.faults.thawed(ctx.Done()) {
		return context.Cause(ctx)
	}

	cost := s.srv.member.options.StatementCost
	if st.hasCost {
		cost = st.cost
	}

	if err := sleep(ctx, cost); err != nil {
		return err
	}

	if s.tx.snapshot {
		if err := s.openTransaction(ctx, "BEGIN"); err != nil {
			return err
		}
	}

	if st.verb == verbWrite || st.locks {
		return s.beginWrite(ctx, st.tag)
	}

	return nil
}

func (c *cursor) start(ctx context.Context, conn *sql.Conn, st *statement, query string, args []any) error {
	if !st.rows {
		result, err := conn.ExecContext(ctx, query, args...)
		if err != nil {
			return err
		}

		c.count, err = result.RowsAffected()

		return err
	}

	rows, err := conn.QueryContext(ctx, query, args...)
	if err != nil {
		return err
	}

	c.rows = rows

	if err := c.learnColumns(); err != nil {
		return errors.Join(err, rows.Close())
	}

	return nil
}

func (c *cursor) learnColumns() error {
	types, err := c.rows.ColumnTypes()
	if err != nil {
		return err
	}

	c.columns = make([]column, len(types))

	if c.first, err = c.read(); err != nil {
		return err
	}

	for i, each := range types {
		var sample any
		if c.first != nil {
			sample = c.first[i]
		}

		c.columns[i] = describeColumn(each.Name(), each.DatabaseTypeName(), sample)
	}

	return nil
}

func (s *session) noteTemporary(st *statement) {
	for i, t := range st.words {
		if !t.is("table") {
			continue
		}

		i++
		for st.at(i).is("if", "not", "exists") {
			i++
		}

		s.temporary[strings.ToLower(strings.Trim(st.at(i).raw, `"`))] = true

		return
	}
}
