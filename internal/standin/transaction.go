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
	// block is true from BEGIN to the end of the transaction, failed after an error in it.
	block, failed bool
	// begun is true once a statement ran in the transaction, explicit or not.
	begun    bool
	readOnly bool
	// snapshot is true for REPEATABLE READ and SERIALIZABLE.
	snapshot bool
	// open is true while SQLite has a transaction open, writing while the session holds the writer lock.
	open, writing bool
	changes       []change
	savepoints    []savepoint
	now           time.Time
}

// savepoint remembers how many changes came before it.
type savepoint struct {
	name    string
	changes int
}

// begin starts the transaction that the next statement runs in.
func (s *session) begin() {
	if s.tx.begun {
		return
	}

	s.tx.begun = true
	s.tx.now = time.Now()
	s.tx.readOnly = s.defaultReadOnly()
	s.settings.save()
}

func (s *session) beginBlock(st *statement) error {
	s.begin()
	s.tx.block = true

	return s.characteristics(st.words)
}

// characteristics reads transaction modes such as READ ONLY.
func (s *session) characteristics(words []token) error {
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
			s.tx.snapshot = true
		}
	}

	return nil
}

// beginWrite makes the session the one that writes.
func (s *session) beginWrite(ctx context.Context, tag string) error {
	if !s.srv.isPrimary() || s.tx.readOnly {
		return errorf(stateReadOnly, "cannot execute %s in a read-only transaction", strings.TrimSuffix(tag, " 0"))
	}

	if s.tx.writing {
		return nil
	}

	if !s.srv.tryLockWriter(s) {
		err := s.withoutSlot(ctx, func(ctx context.Context) error { return s.srv.lockWriter(ctx, s) })
		if err != nil {
			return err
		}
	}

	s.tx.writing = true

	if s.tx.open {
		return nil
	}

	return s.openTransaction(ctx, "BEGIN IMMEDIATE")
}

func (s *session) openTransaction(ctx context.Context, command string) error {
	if s.tx.open {
		return nil
	}

	if _, err := s.conn.ExecContext(ctx, command); err != nil {
		return err
	}

	s.tx.open = true

	return nil
}

// commit ends the transaction, explicit or not.
func (s *session) commit() error {
	s.closePortals()

	if err := s.commitTables(); err != nil {
		s.rollback()
		return err
	}

	s.settings.endLocal()
	s.finishTransaction()

	return nil
}

func (s *session) commitTables() error {
	if !s.tx.open {
		return nil
	}

	if len(s.tx.changes) == 0 {
		_, err := s.conn.ExecContext(context.Background(), "COMMIT")
		return err
	}

	if !s.srv.member.faults.thawed(s.ctx.Done()) {
		return errTerminated
	}

	payload, err := cbor.Marshal(transaction{
		Term: parseConninfo(s.srv.setting("primary_conninfo")).term(), Changes: s.tx.changes,
	})
	if err != nil {
		return eris.Wrap(err, "encode transaction")
	}

	before := s.srv.store.wal.end()

	// The log comes first: whoever sees the changes finds them covered by the insert position.
	end, err := s.srv.store.wal.append(payload)
	if err != nil {
		return err
	}

	if err := s.commitAt(end); err != nil {
		if cutErr := s.srv.store.wal.truncate(before); cutErr != nil {
			s.srv.log.Error("log differs from the tables", "error", cutErr)
		}

		return err
	}

	s.srv.replayed.Store(uint64(end))
	s.srv.store.wal.publish()

	return nil
}

func (s *session) commitAt(end position.LSN) error {
	ctx := context.Background()
	if _, err := s.conn.ExecContext(ctx, "UPDATE ag_replayed SET lsn = ?", int64(end)); err != nil {
		return err
	}

	_, err := s.conn.ExecContext(ctx, "COMMIT")

	return err
}

// rollback ends the transaction, explicit or not, without its changes.
func (s *session) rollback() {
	s.closePortals()

	if s.tx.open {
		// SQLite may have rolled back by itself when a statement was interrupted.
		_, _ = s.conn.ExecContext(context.Background(), "ROLLBACK")
	}

	s.settings.restore()
	s.finishTransaction()
}

func (s *session) finishTransaction() {
	if s.tx.writing {
		s.srv.unlockWriter()
	}

	s.tx = txState{}
	s.srv.advisory.unlockAll(s, true)
}

// logChange records a statement for replicas.
func (s *session) logChange(st *statement, args []any, seed uint64) {
	for _, t := range st.words {
		if s.temporary[strings.ToLower(strings.Trim(t.raw, `"`))] {
			return // Temporary tables exist in this session only.
		}
	}

	s.tx.changes = append(s.tx.changes, change{SQL: st.raw, Args: args, Seed: seed, Now: s.tx.now.UnixMicro()})
}

// control runs a statement of transaction control and returns its tag.
func (s *session) control(st *statement) (string, error) {
	switch st.verb {
	case verbBegin:
		if s.tx.block {
			return st.tag, nil // PostgreSQL warns only.
		}

		return st.tag, s.beginBlock(st)
	case verbCommit:
		if s.tx.failed {
			s.rollback()
			return "ROLLBACK", nil
		}

		return st.tag, s.commit()
	case verbRollback:
		if st.has("to") {
			return st.tag, s.rollbackTo(st)
		}

		s.rollback()

		return st.tag, nil
	default:
		return st.tag, s.savepoint(st)
	}
}

func (s *session) savepoint(st *statement) error {
	if !s.tx.block {
		return errorf(stateNoTransaction, "%s can only be used in transaction blocks", st.tag)
	}

	name := strings.ToLower(st.words[len(st.words)-1].raw)

	if st.words[0].is("savepoint") {
		if !s.tx.readOnly && s.srv.isPrimary() {
			if err := s.beginWrite(s.ctx, st.tag); err != nil {
				return err
			}

			if _, err := s.conn.ExecContext(s.ctx, "SAVEPOINT "+savepointName(name)); err != nil {
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

	return s.savepointCommand("RELEASE " + savepointName(name))
}

// rollbackTo drops the changes after a savepoint, so that the log holds only what remains.
func (s *session) rollbackTo(st *statement) error {
	name := strings.ToLower(st.words[len(st.words)-1].raw)

	i, err := s.findSavepoint(name)
	if err != nil {
		return err
	}

	s.tx.savepoints = s.tx.savepoints[:i+1]
	s.tx.changes = s.tx.changes[:s.tx.savepoints[i].changes]
	s.tx.failed = false

	return s.savepointCommand("ROLLBACK TO " + savepointName(name))
}

func (s *session) savepointCommand(command string) error {
	if !s.tx.open {
		return nil
	}

	_, err := s.conn.ExecContext(s.ctx, command)

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
