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

// A named request runs at most once. Its name is inserted into a table of the database in the transaction of the
// request itself, so that the table always agrees with the data. The answer is recorded before the commit: recordRan,
// then the command tags, one per line. The row that SHOW almondgrade.outcome inserts for a request that did not run
// holds recordCancelled.
const (
	recordRan       = "+"
	recordCancelled = "-"

	createRequestTable = "CREATE TABLE IF NOT EXISTS almondgrade_request (id text PRIMARY KEY, answer text)"

	// requestLockTimeoutMillis bounds the wait for another transaction that has inserted the same name.
	requestLockTimeoutMillis = "1000"

	outcomeRan    = "ran"
	outcomeNotRun = "not run"
)

// replay holds the recorded answers of a named request that ran before.
type replay struct {
	tags []string
	// noticeSent is true once the caller got the notice that the request ran before.
	noticeSent bool
	// single is true for a request that was one text or batch, without a BEGIN.
	single bool
}

// nextReply returns the recorded answer to a statement.
func (p *replay) nextReply(s *session, stmt *statement.Statement) reply {
	answer := reply{tag: tagSet}

	if len(p.tags) > 0 {
		answer.tag, p.tags = p.tags[0], p.tags[1:]
	}

	switch {
	case p.single:
	case stmt.Kind == statement.Begin:
		answer.tag, s.status = tagBegin, statusOpen
	case stmt.Kind == statement.Commit:
		answer.tag, s.status, s.replay = tagCommit, statusIdle, nil
	case stmt.Kind == statement.Rollback:
		answer.tag, s.status, s.replay = tagRollback, statusIdle, nil
	}

	if !p.noticeSent {
		p.noticeSent = true
		answer.notice = alreadyRanNotice()
	}

	return answer
}

func alreadyRanNotice() *pgproto3.NoticeResponse {
	description := result.AlreadyRan.Describe()

	return &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: description.SQLState,
		Message: result.New(result.AlreadyRan, "%s", description.Text).Error(),
	}
}

// beginNamedRequest begins the transaction of a named request and inserts the name. It reports true if the request has
// been answered.
func (x *exchange) beginNamedRequest() (bool, *failure) {
	s := x.session

	if s.tx.requestName != "" && s.status == statusOpen {
		return false, x.recordCommit()
	}

	name := x.request.name
	if name == "" {
		return false, nil
	}

	begin, explicit := tagBegin, len(x.request.statements) > 0 && x.request.statements[0].Kind == statement.Begin
	if explicit {
		begin = x.request.statements[0].Text
	}

	if err := x.checkNamedRequest(explicit); err != nil {
		return false, &failure{err: err, permanent: true}
	}

	stop := s.abortOnTermination(x.conn)
	recorded, err := s.insertRequestName(x.conn, x.request.deadline, begin, name, "NULL")

	stop()

	if err != nil {
		return false, x.namedRequestFailure(err)
	}

	if recorded != "" {
		return x.answerRecorded(recorded, explicit)
	}

	s.tx.requestName = name
	s.tx.wrote, s.tx.mayHoldLocks = true, true
	x.proxyTransaction = !explicit

	if !explicit {
		return false, nil
	}

	return x.answerBegin()
}

func (x *exchange) checkNamedRequest(explicit bool) error {
	statements := x.request.statements

	switch {
	case x.request.batch != nil && !x.request.batch.synced:
		return result.New(result.NotSupported, "a named request can't be a batch that is flushed before Sync")
	case explicit:
		statements = statements[1:]
	}

	for i := range statements {
		switch statements[i].Kind {
		case statement.Begin, statement.Commit, statement.Rollback:
			return result.New(result.NotSupported,
				"a named request can't have %.20q in the same text or batch as other statements", statements[i].Text)
		default:
		}
	}

	return nil
}

// namedRequestFailure describes a failure before the request itself was sent. Nothing was committed, so the request has
// not run.
func (x *exchange) namedRequestFailure(err error) *failure {
	if x.session.isEnded() {
		return &failure{err: errDraining(), permanent: true}
	}

	failed := &failure{err: setupError(err)}

	var server *backend.ServerError
	if !errors.As(err, &server) && result.CodeOf(err) == result.OK {
		failed.server = x.lease.server
	}

	return failed
}

// insertRequestName begins a transaction and inserts the name of a request. If the name exists, it rolls the
// transaction back and returns the recorded answer.
func (s *session) insertRequestName(conn *backend.Conn, deadline time.Time, begin, name, answer string) (string, error) {
	timeout := "DEFAULT"
	if sessionTimeout, found := s.parameters.values["lock_timeout"]; found {
		timeout = sessionTimeout
	}

	insert := begin + "; SET LOCAL lock_timeout = " + requestLockTimeoutMillis +
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
		case state == sqlStateUndefinedTable && attempt == 0:
			// Another session may create the table at the same time; the second insert shows whether it exists.
			if failed := conn.Exec(deadline, createRequestTable); failed != nil && backend.SQLState(failed) == "" {
				return "", failed
			}
		case state == sqlStateUniqueViolation:
			return s.readRecord(conn, deadline, name)
		case state == sqlStateLockNotAvailable:
			return "", result.New(result.StillRunning, "request %q is still running elsewhere", name)
		default:
			return "", err
		}
	}
}

// readRecord returns the recorded answer to a request.
func (s *session) readRecord(conn *backend.Conn, deadline time.Time, name string) (string, error) {
	rows, _, err := conn.Query(deadline, "SELECT answer FROM almondgrade_request WHERE id = "+quoteLiteral(name))
	if err != nil {
		return "", err
	}

	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", result.New(result.StillRunning, "can't read the record of request %q", name)
	}

	if rows[0][0] == "" {
		// The caller ended its transaction other than with COMMIT, so no command tags were recorded.
		return recordRan, nil
	}

	return rows[0][0], nil
}

// answerRecorded answers a request that ran before, once its record is confirmed.
func (x *exchange) answerRecorded(recorded string, explicit bool) (bool, *failure) {
	s, r := x.session, x.request

	s.releaseLease(false)

	if err := s.confirmCommits(r.rule.Durability, x.lease.term); err != nil {
		return false, &failure{err: err, permanent: true}
	}

	if recorded == recordCancelled {
		return false, &failure{permanent: true, err: result.New(result.DeadlinePassed,
			"the request did not run and never will: its outcome was queried before it began")}
	}

	s.server.counters.increment(result.AlreadyRan.Describe().Name)

	var tags []string
	if recorded = strings.TrimPrefix(recorded, recordRan); recorded != "" {
		tags = strings.Split(recorded, "\n")
	}

	s.replay = &replay{tags: tags, single: !explicit}

	err := x.replayRequest()

	if !explicit {
		s.replay = nil
	}

	return true, err
}

// replayRequest answers the whole request from its record.
func (x *exchange) replayRequest() *failure {
	s, r := x.session, x.request

	var err error

	if r.batch != nil {
		err = s.answerLocalBatch(context.Background(), r.batch.messages)
	} else {
		for i := range r.statements {
			if err = s.answerLocalQuery(context.Background(), &r.statements[i]); err != nil {
				break
			}
		}
	}

	if err != nil {
		return &failure{err: err, permanent: true}
	}

	if err := s.sendReady(); err != nil {
		return &failure{err: err, permanent: true}
	}

	return nil
}

// answerBegin answers the BEGIN of a named request, which was sent together with the name. The rest of the text or
// batch still has to run. It reports true if there is none.
func (x *exchange) answerBegin() (bool, *failure) {
	s, r := x.session, x.request

	s.tx.commandTags = append(s.tx.commandTags, tagBegin)
	x.inTransaction = true

	if r.batch != nil {
		x.beginSent = true

		return false, nil
	}

	if err := s.caller.Send(&pgproto3.CommandComplete{CommandTag: []byte(tagBegin)}); err != nil {
		return false, &failure{err: err, permanent: true}
	}

	if r.statements = r.statements[1:]; len(r.statements) > 0 {
		r.text = joinStatements(r.statements)

		return false, nil
	}

	s.status = statusOpen

	if err := s.sendReady(); err != nil {
		return false, &failure{err: err, permanent: true}
	}

	return true, nil
}

// recordCommit records the answer to a named transaction if the request contains its COMMIT.
func (x *exchange) recordCommit() *failure {
	commits := false

	for i := range x.request.statements {
		commits = commits || x.request.statements[i].Kind == statement.Commit
	}

	if !commits {
		return nil
	}

	stop := x.session.abortOnTermination(x.conn)
	err := x.conn.Exec(x.request.deadline, x.session.recordSQL(tagCommit))

	stop()

	switch {
	case err == nil:
		return nil
	case x.session.isEnded():
		err = errDraining()
	}

	return &failure{err: setupError(err), permanent: true}
}

// recordSQL returns the statement that records the command tags so far, followed by the given ones.
func (s *session) recordSQL(last ...string) string {
	tags := append(append([]string(nil), s.tx.commandTags...), last...)

	return "UPDATE almondgrade_request SET answer = " + quoteLiteral(recordRan+strings.Join(tags, "\n")) +
		" WHERE id = " + quoteLiteral(s.tx.requestName)
}

// endNamedRequest ends the transaction that beginNamedRequest opened around a request outside a transaction.
func (x *exchange) endNamedRequest() (byte, error) {
	s := x.session

	if x.failed || x.conn.TxStatus != statusOpen {
		if err := x.conn.Exec(x.request.deadline.Add(cancelGrace), "ROLLBACK"); err != nil {
			return 0, err
		}

		x.failed = true

		return x.conn.TxStatus, nil
	}

	if err := x.conn.Exec(x.request.deadline.Add(cancelGrace), s.recordSQL()); err != nil {
		return x.rollbackNamedRequest(err)
	}

	if err := x.conn.Exec(x.request.deadline.Add(cancelGrace), tagCommit); err != nil {
		return x.rollbackNamedRequest(err)
	}

	x.committed = true

	return x.conn.TxStatus, nil
}

// rollbackNamedRequest rolls back after an error of the server, which it sends in place of the answer held back.
func (x *exchange) rollbackNamedRequest(err error) (byte, error) {
	if backend.SQLState(err) == "" {
		return 0, err
	}

	x.session.caller.DropHeldOutput()
	x.failed = true

	message := errorResponse(err)
	x.session.correctCancelText(message)

	if failed := x.session.caller.Send(message); failed != nil {
		return 0, failed
	}

	if failed := x.conn.Exec(x.request.deadline.Add(cancelGrace), "ROLLBACK"); failed != nil {
		return 0, failed
	}

	return x.conn.TxStatus, nil
}

// outcome returns whether the request that the session named last has run. If it has not, it never will: a row with its
// name is inserted, and the first commit of that name wins.
//
//nolint:contextcheck // A confirmation has a deadline of its own.
func (s *session) outcome(ctx context.Context) (string, error) {
	if s.lastRequestName == "" {
		return "", result.New(result.NotFound, "the session has not named a request")
	}

	s.server.counters.increment(counterOutcomeQueries)

	deadline, _ := ctx.Deadline()

	for attempt := 1; ; attempt++ {
		answer, term, err := s.queryOutcome(ctx, deadline)
		if err == nil {
			if err = s.confirmCommits("", term); err != nil {
				return "", err
			}

			if answer == recordCancelled {
				return outcomeNotRun, nil
			}

			return strings.TrimSuffix(outcomeRan+": "+strings.ReplaceAll(strings.TrimPrefix(answer, recordRan), "\n", ", "), ": "), nil
		}

		if !isRetryable(err) || !s.server.budget.TakeRetry(time.Now()) {
			return "", err
		}

		if err := pause(ctx, backoff(attempt)); err != nil {
			return "", err
		}
	}
}

// queryOutcome returns the record of a request on the primary, or inserts one that prevents the request from running.
func (s *session) queryOutcome(ctx context.Context, deadline time.Time) (string, position.Term, error) {
	r := &request{class: classWrite, rule: s.trafficRule(), deadline: deadline}

	view, server, err := s.choosePrimary(ctx, 0)
	if err != nil {
		return "", 0, err
	}

	lease, err := s.acquireLease(ctx, view, server, r)
	if err != nil {
		return "", 0, err
	}

	defer lease.release()

	if err := s.prepareConn(lease, r); err != nil {
		lease.conn.Taint()

		return "", 0, result.New(result.ServerUnreachable, "can't query the outcome: %w", err)
	}

	stop := s.abortOnTermination(lease.conn)
	answer, err := s.insertRequestName(lease.conn, deadline, tagBegin, s.lastRequestName, quoteLiteral(recordCancelled))

	if err == nil && answer == "" {
		answer = recordCancelled
		err = lease.conn.Exec(deadline, tagCommit)
	}

	stop()

	if err != nil && s.isEnded() {
		return "", 0, errDraining()
	}

	if err != nil && backend.SQLState(err) == "" && result.CodeOf(err) == result.OK {
		err = result.New(result.ServerUnreachable, "can't query the outcome: %w", err)
	}

	return answer, lease.term, err
}
