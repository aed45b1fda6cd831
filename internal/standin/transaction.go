package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/position"
)

// txState is the state of a session's transaction.
type txState struct {
	// inBlock is true from BEGIN to the end of the transaction; aborted is true after an error in it.
	inBlock, aborted bool
	// started is true once a statement has run in the transaction, explicit or implicit.
	started  bool
	readOnly bool
	// snapshotIsolation is true for REPEATABLE READ and SERIALIZABLE.
	snapshotIsolation bool
	// sqliteOpen is true while a SQLite transaction is open; holdsWriterLock is true while the session holds the
	// writer lock.
	sqliteOpen, holdsWriterLock bool
	changes                     []change
	savepoints                  []savepoint
	now                         time.Time
}

// savepoint records how many changes precede it.
type savepoint struct {
	name             string
	precedingChanges int
}

// ensureTransaction starts a transaction unless one has started.
func (s *session) ensureTransaction() {
	if s.tx.started {
		return
	}

	s.tx.started = true
	s.tx.now = time.Now()
	s.tx.readOnly = s.defaultReadOnly()
	s.settings.save()
}

func (s *session) beginBlock(st *statement) error {
	s.ensureTransaction()
	s.tx.inBlock = true

	return s.setCharacteristics(st.words)
}

// setCharacteristics applies transaction modes such as READ ONLY.
func (s *session) setCharacteristics(words []token) error {
	for i, t := range words {
		next := token{}
		if i+1 < len(words) {
			next = words[i+1]
		}

		switch {
		case t.is("read") && next.is("only"):
			s.tx.readOnly = true
		case t.is("read") && next.is("write"):
			if !s.srv.isPrimary() {
				return errorf(stateReadOnly, "cannot set transaction read-write mode during recovery")
			}

			s.tx.readOnly = false
		case t.is("repeatable", "serializable"):
			s.tx.snapshotIsolation = true
		}
	}

	return nil
}

// beginWrite acquires the writer lock and opens the SQLite transaction. It fails if the transaction is read-only.
func (s *session) beginWrite(ctx context.Context, tag string) error {
	if !s.srv.isPrimary() || s.tx.readOnly {
		return errorf(stateReadOnly, "cannot execute %s in a read-only transaction", strings.TrimSuffix(tag, " 0"))
	}

	if s.tx.holdsWriterLock {
		return nil
	}

	if !s.srv.tryLockWriter(s) {
		err := s.waitWithoutSlot(ctx, func(ctx context.Context) error { return s.srv.lockWriter(ctx, s) })
		if err != nil {
			return err
		}
	}

	s.tx.holdsWriterLock = true

	if s.tx.sqliteOpen {
		return nil
	}

	return s.beginSQLite(ctx, "BEGIN IMMEDIATE")
}

func (s *session) beginSQLite(ctx context.Context, command string) error {
	if s.tx.sqliteOpen {
		return nil
	}

	if _, err := s.sqliteConn.ExecContext(ctx, command); err != nil {
		return err
	}

	s.tx.sqliteOpen = true

	return nil
}

// commit commits the transaction, explicit or implicit.
func (s *session) commit() error {
	s.closePortals()

	if err := s.commitChanges(); err != nil {
		s.rollback()
		return err
	}

	s.settings.revertLocal()
	s.finishTransaction()

	return nil
}

func (s *session) commitChanges() error {
	if !s.tx.sqliteOpen {
		return nil
	}

	if len(s.tx.changes) == 0 {
		_, err := s.sqliteConn.ExecContext(context.Background(), "COMMIT")
		return err
	}

	if !s.srv.member.faults.waitThawed(s.ctx.Done()) {
		return errTerminated
	}

	payload, err := cbor.Marshal(loggedTransaction{
		Term: parseConninfo(s.srv.setting("primary_conninfo")).term(), Changes: s.tx.changes,
	})
	if err != nil {
		return eris.Wrap(err, "encode transaction")
	}

	before := s.srv.store.wal.end()

	// The log is written before the SQLite commit, so that the insert position covers every change that a reader sees.
	end, err := s.srv.store.wal.append(payload)
	if err != nil {
		return err
	}

	if err := s.commitSQLite(end); err != nil {
		if cutErr := s.srv.store.wal.truncate(before); cutErr != nil {
			s.srv.log.Error("could not remove the log record of a failed commit; the log differs from the database", "error", cutErr)
		}

		return err
	}

	s.srv.replayed.Store(uint64(end))
	s.srv.store.wal.publish()

	return nil
}

func (s *session) commitSQLite(end position.LSN) error {
	ctx := context.Background()
	if _, err := s.sqliteConn.ExecContext(ctx, "UPDATE ag_replayed SET lsn = ?", int64(end)); err != nil {
		return err
	}

	_, err := s.sqliteConn.ExecContext(ctx, "COMMIT")

	return err
}

// rollback rolls the transaction back, explicit or implicit.
func (s *session) rollback() {
	s.closePortals()

	if s.tx.sqliteOpen {
		// The error is ignored because SQLite may already have rolled back when a statement was interrupted.
		_, _ = s.sqliteConn.ExecContext(context.Background(), "ROLLBACK")
	}

	s.settings.restore()
	s.finishTransaction()
}

func (s *session) finishTransaction() {
	if s.tx.holdsWriterLock {
		s.srv.unlockWriter()
	}

	s.tx = txState{}
	s.srv.advisory.unlockAll(s, true)
}

// recordChange adds a statement to the changes that the commit writes to the log.
func (s *session) recordChange(st *statement, args []any, seed uint64) {
	for _, t := range st.words {
		if s.temporaryTables[strings.ToLower(strings.Trim(t.raw, `"`))] {
			return // Temporary tables exist in this session only.
		}
	}

	s.tx.changes = append(s.tx.changes, change{SQL: st.raw, Args: args, Seed: seed, Now: s.tx.now.UnixMicro()})
}

// controlTransaction executes a transaction control statement and returns its command tag.
func (s *session) controlTransaction(st *statement) (string, error) {
	switch st.verb {
	case verbBegin:
		if s.tx.inBlock {
			return st.tag, nil // PostgreSQL only warns.
		}

		return st.tag, s.beginBlock(st)
	case verbCommit:
		if s.tx.aborted {
			s.rollback()
			return "ROLLBACK", nil
		}

		return st.tag, s.commit()
	case verbRollback:
		if st.hasKeyword("to") {
			return st.tag, s.rollbackTo(st)
		}

		s.rollback()

		return st.tag, nil
	default:
		return st.tag, s.runSavepoint(st)
	}
}

func (s *session) runSavepoint(st *statement) error {
	if !s.tx.inBlock {
		return errorf(stateNoTransaction, "%s can only be used in transaction blocks", st.tag)
	}

	name := strings.ToLower(st.words[len(st.words)-1].raw)

	if st.words[0].is("savepoint") {
		if !s.tx.readOnly && s.srv.isPrimary() {
			if err := s.beginWrite(s.ctx, st.tag); err != nil {
				return err
			}

			if _, err := s.sqliteConn.ExecContext(s.ctx, "SAVEPOINT "+savepointName(name)); err != nil {
				return err
			}
		}

		s.tx.savepoints = append(s.tx.savepoints, savepoint{name, len(s.tx.changes)})

		return nil
	}

	i, err := s.findSavepoint(name)
	if err != nil {
		return err
	}

	s.tx.savepoints = s.tx.savepoints[:i]

	return s.execInOpenTransaction("RELEASE " + savepointName(name))
}

// rollbackTo rolls back to a savepoint and removes the later changes from those that the commit writes to the log.
func (s *session) rollbackTo(st *statement) error {
	name := strings.ToLower(st.words[len(st.words)-1].raw)

	i, err := s.findSavepoint(name)
	if err != nil {
		return err
	}

	s.tx.savepoints = s.tx.savepoints[:i+1]
	s.tx.changes = s.tx.changes[:s.tx.savepoints[i].precedingChanges]
	s.tx.aborted = false

	return s.execInOpenTransaction("ROLLBACK TO " + savepointName(name))
}

func (s *session) execInOpenTransaction(command string) error {
	if !s.tx.sqliteOpen {
		return nil
	}

	_, err := s.sqliteConn.ExecContext(s.ctx, command)

	return err
}

func (s *session) findSavepoint(name string) (int, error) {
	for i := len(s.tx.savepoints) - 1; i >= 0; i-- {
		if s.tx.savepoints[i].name == name {
			return i, nil
		}
	}

	return 0, errorf("3B001", "savepoint %q does not exist", name)
}

func savepointName(name string) string {
	return fmt.Sprintf("%q", "sp_"+strings.Trim(name, `"`))
}

func newSeed() uint64 {
	return rand.Uint64()
}
