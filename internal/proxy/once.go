package proxy

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/statement"
	"almondgrade/io/backend"
)

// A request with a name runs at most once. Its name is inserted into a table of the database in the transaction of
// the request itself, so that the table can't disagree with the data. The answer is recorded in front of the commit:
// the command tags, one a line, behind answerRan. The row that SHOW almondgrade.outcome inserts for a request that
// did not run holds answerCancelled.
const (
	answerRan       = "+"
	answerCancelled = "-"

	createOnce = "CREATE TABLE IF NOT EXISTS almondgrade_request (id text PRIMARY KEY, answer text)"

	// onceWait bounds the wait for a transaction elsewhere that has inserted the same name.
	onceWait = "1000"

	outcomeRan    = "ran"
	outcomeNotRun = "not run"
)

// replay holds the recorded answers of a request that ran before.
type replay struct {
	tags []string
	// told is true once the caller was told that nothing runs.
	told bool
	// single is true for a request that was one statement or batch.
	single bool
}

// next returns the recorded answer to a statement.
func (p *replay) next(s *session, one *statement.Statement) reply {
	given := reply{tag: tagSet}

	if len(p.tags) > 0 {
		given.tag, p.tags = p.tags[0], p.tags[1:]
	}

	switch {
	case p.single:
	case one.Kind == statement.Begin:
		given.tag, s.status = tagBegin, statusOpen
	case one.Kind == statement.Commit:
		given.tag, s.status, s.replay = tagCommit, statusIdle, nil
	case one.Kind == statement.Rollback:
		given.tag, s.status, s.replay = tagRollback, statusIdle, nil
	}

	if !p.told {
		p.told = true
		given.notice = noticeRan()
	}

	return given
}

func noticeRan() *pgproto3.NoticeResponse {
	description := result.AlreadyRan.Describe()

	return &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: description.State,
		Message: result.New(result.AlreadyRan, "%s", description.Text).Error(),
	}
}

// beginOnce begins the transaction of a request that has a name, and records the name. It reports true if the
// request has been answered.
func (x *exchange) beginOnce() (bool, *failure) {
	s := x.s

	if s.tx.name != "" && s.status == statusOpen {
		return false, x.recordCommit()
	}

	name := x.r.name
	if name == "" {
		return false, nil
	}

	first, explicit := tagBegin, len(x.r.statements) > 0 && x.r.statements[0].Kind == statement.Begin
	if explicit {
		first = x.r.statements[0].Text
	}

	if err := x.onceSupported(explicit); err != nil {
		return false, &failure{err: err, final: true}
	}

	recorded, err := s.insertOnce(x.conn, x.r.deadline, first, name, "NULL")
	if err != nil {
		return false, x.onceFailure(err)
	}

	if recorded != "" {
		return x.answerRecorded(recorded, explicit)
	}

	s.tx.name = name
	s.tx.wrote, s.tx.locks = true, true
	x.wrapped = !explicit

	if !explicit {
		return false, nil
	}

	return x.answerBegin()
}

func (x *exchange) onceSupported(explicit bool) error {
	statements := x.r.statements

	switch {
	case x.r.batch != nil && !x.r.batch.synced:
		return result.New(result.NotSupported, "a request with a name can't be a batch that is flushed before Sync")
	case explicit:
		statements = statements[1:]
	}

	for i := range statements {
		switch statements[i].Kind {
		case statement.Begin, statement.Commit, statement.Rollback:
			return result.New(result.NotSupported,
				"a request with a name can't hold %.20q in the same text or batch as other statements", statements[i].Text)
		default:
		}
	}

	return nil
}

// onceFailure describes a failure before the request itself was sent. Without its commit nothing has run.
func (x *exchange) onceFailure(err error) *failure {
	failed := &failure{err: err}

	var server *backend.ServerError
	if !errors.As(err, &server) && result.CodeOf(err) == result.OK {
		failed.server = x.held.server
	}

	return failed
}

// insertOnce begins a transaction and inserts the name of a request. It returns the recorded answer if the name is
// taken; the transaction is then closed.
func (s *session) insertOnce(conn *backend.Conn, deadline time.Time, begin, name, answer string) (string, error) {
	timeout := "DEFAULT"
	if own, found := s.parameters.values["lock_timeout"]; found {
		timeout = own
	}

	insert := begin + "; SET LOCAL lock_timeout = " + onceWait +
		"; INSERT INTO almondgrade_request (id, answer) VALUES (" + quoteLiteral(name) + ", " + answer +
		"); SET LOCAL lock_timeout = " + timeout

	for attempt := 0; ; attempt++ {
		err := conn.Exec(deadline, insert)
		if err == nil {
			return "", nil
		}

		state := backend.SQLState(err)
		if state == "" {
			return "", err
		}

		if failed := conn.Exec(deadline, "ROLLBACK"); failed != nil {
			return "", failed
		}

		switch {
		case state == stateNoTable && attempt == 0:
			// Another session may create it at the same time; the second insert tells whether it is there.
			if failed := conn.Exec(deadline, createOnce); failed != nil && backend.SQLState(failed) == "" {
				return "", failed
			}
		case state == stateUnique:
			return s.recorded(conn, deadline, name)
		case state == stateLockTimeout:
			return "", result.New(result.StillRunning, "request %q is still running elsewhere", name)
		default:
			return "", err
		}
	}
}

// recorded returns the recorded answer of a request.
func (s *session) recorded(conn *backend.Conn, deadline time.Time, name string) (string, error) {
	rows, _, err := conn.Query(deadline, "SELECT answer FROM almondgrade_request WHERE id = "+quoteLiteral(name))
	if err != nil {
		return "", err
	}

	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", result.New(result.StillRunning, "the record of request %q can't be read", name)
	}

	if rows[0][0] == "" {
		// A caller that ended its transaction by other means than COMMIT left no tags.
		return answerRan, nil
	}

	return rows[0][0], nil
}

// answerRecorded answers a request that ran before, once the record is safe.
func (x *exchange) answerRecorded(recorded string, explicit bool) (bool, *failure) {
	s, r := x.s, x.r

	s.release(false)

	if err := s.confirm(r.rule.Durability, x.held.term); err != nil {
		return false, &failure{err: err, final: true}
	}

	if recorded == answerCancelled {
		return false, &failure{final: true, err: result.New(result.DeadlinePassed,
			"the request did not run and never will: its outcome was asked for before it began")}
	}

	s.server.counters.add(result.AlreadyRan.Describe().Name)

	var tags []string
	if recorded = strings.TrimPrefix(recorded, answerRan); recorded != "" {
		tags = strings.Split(recorded, "\n")
	}

	s.replay = &replay{tags: tags, single: !explicit}

	err := x.localAnswer()

	if !explicit {
		s.replay = nil
	}

	return true, err
}

// localAnswer answers the whole request without the server.
func (x *exchange) localAnswer() *failure {
	s, r := x.s, x.r

	var err error

	if r.batch != nil {
		err = s.localBatch(context.Background(), r.batch.items)
	} else {
		for i := range r.statements {
			if err = s.localQuery(context.Background(), &r.statements[i]); err != nil {
				break
			}
		}
	}

	if err != nil {
		return &failure{err: err, final: true}
	}

	if err := s.ready(); err != nil {
		return &failure{err: err, final: true}
	}

	return nil
}

// answerBegin answers the BEGIN of a request with a name, which was sent together with the name. The rest of the
// text or batch is left to run.
func (x *exchange) answerBegin() (bool, *failure) {
	s, r := x.s, x.r

	s.tx.tags = append(s.tx.tags, tagBegin)
	x.open = true

	if r.batch != nil {
		x.begun = true

		return false, nil
	}

	if err := s.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(tagBegin)}); err != nil {
		return false, &failure{err: err, final: true}
	}

	if r.statements = r.statements[1:]; len(r.statements) > 0 {
		r.text = textOf(r.statements)

		return false, nil
	}

	s.status = statusOpen

	if err := s.ready(); err != nil {
		return false, &failure{err: err, final: true}
	}

	return true, nil
}

// recordCommit records the answer of a transaction with a name in front of its COMMIT.
func (x *exchange) recordCommit() *failure {
	commits := false

	for i := range x.r.statements {
		commits = commits || x.r.statements[i].Kind == statement.Commit
	}

	if !commits {
		return nil
	}

	if err := x.conn.Exec(x.r.deadline, x.s.recordSQL(tagCommit)); err != nil {
		return &failure{err: err, final: true}
	}

	return nil
}

// recordSQL returns the statement that records the tags so far and a last one.
func (s *session) recordSQL(last ...string) string {
	tags := append(append([]string(nil), s.tx.tags...), last...)

	return "UPDATE almondgrade_request SET answer = " + quoteLiteral(answerRan+strings.Join(tags, "\n")) +
		" WHERE id = " + quoteLiteral(s.tx.name)
}

// endOnce ends the transaction that beginOnce opened around a request outside a transaction.
func (x *exchange) endOnce() (byte, error) {
	s := x.s

	if x.failed || x.conn.TxStatus != statusOpen {
		if err := x.conn.Exec(x.r.deadline.Add(cancelGrace), "ROLLBACK"); err != nil {
			return 0, err
		}

		x.failed = true

		return x.conn.TxStatus, nil
	}

	if err := x.conn.Exec(x.r.deadline.Add(cancelGrace), s.recordSQL()); err != nil {
		return x.rollbackOnce(err)
	}

	if err := x.conn.Exec(x.r.deadline.Add(cancelGrace), tagCommit); err != nil {
		return x.rollbackOnce(err)
	}

	x.committed = true

	return x.conn.TxStatus, nil
}

// rollbackOnce tells the caller of an error of the server in place of what was held back.
func (x *exchange) rollbackOnce(err error) (byte, error) {
	if backend.SQLState(err) == "" {
		return 0, err
	}

	x.s.caller.DropHeldOutput()
	x.failed = true

	if failed := x.s.caller.Send(response(err)); failed != nil {
		return 0, failed
	}

	if failed := x.conn.Exec(x.r.deadline.Add(cancelGrace), "ROLLBACK"); failed != nil {
		return 0, failed
	}

	return x.conn.TxStatus, nil
}

// outcome tells whether the request that the session named last has run. If it has not, it never will: a row with its
// name is inserted, and whichever commits first decides.
//
//nolint:contextcheck // A confirmation has a deadline of its own.
func (s *session) outcome(ctx context.Context) (string, error) {
	if s.last == "" {
		return "", result.New(result.NotFound, "the session has named no request")
	}

	s.server.counters.add(counterOutcome)

	deadline, _ := ctx.Deadline()

	for attempt := 1; ; attempt++ {
		answer, term, err := s.askOutcome(ctx, deadline)
		if err == nil {
			if err = s.confirm("", term); err != nil {
				return "", err
			}

			if answer == answerCancelled {
				return outcomeNotRun, nil
			}

			return strings.TrimSuffix(outcomeRan+": "+strings.ReplaceAll(strings.TrimPrefix(answer, answerRan), "\n", ", "), ": "), nil
		}

		if !retryable(err) || !s.server.budget.Retry(time.Now()) {
			return "", err
		}

		if err := pause(ctx, backoff(attempt)); err != nil {
			return "", err
		}
	}
}

// askOutcome looks for the record of a request on the primary, or inserts one that cancels it.
func (s *session) askOutcome(ctx context.Context, deadline time.Time) (string, position.Term, error) {
	r := &request{class: classWrite, rule: s.rule(), deadline: deadline}

	view, server, err := s.choosePrimary(ctx, 0)
	if err != nil {
		return "", 0, err
	}

	held, err := s.acquire(ctx, view, server, r)
	if err != nil {
		return "", 0, err
	}

	defer held.put()

	if err := s.prepare(held, r); err != nil {
		held.conn.Taint()

		return "", 0, result.New(result.ServerUnreachable, "the outcome can't be asked for: %w", err)
	}

	answer, err := s.insertOnce(held.conn, deadline, tagBegin, s.last, quoteLiteral(answerCancelled))
	if err == nil && answer == "" {
		answer = answerCancelled
		err = held.conn.Exec(deadline, tagCommit)
	}

	if err != nil && backend.SQLState(err) == "" && result.CodeOf(err) == result.OK {
		err = result.New(result.ServerUnreachable, "the outcome can't be asked for: %w", err)
	}

	return answer, held.term, err
}
