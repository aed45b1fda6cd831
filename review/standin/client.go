package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// session is a client's connection to a proxy.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	state  string
}

// answer is the answer to a statement.
type answer struct {
	rows      []string
	signature string
	code      string
	text      string
	state     string
}

func (a answer) ok() bool { return a.code == "" }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var errRejected = errors.New("the session was rejected")

func dialSession(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}

	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))

	if _, err := fmt.Fprintf(conn, "CONNECT %s u1\r\n", database); err != nil {
		s.close()

		return nil, err
	}

	line, err := s.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errRejected
	}

	if err != nil {
		s.close()

		return nil, err
	}

	return s, nil
}

func (s *session) line() (string, error) {
	line, err := s.reader.ReadString('\n')

	return strings.TrimRight(line, "\r\n"), err
}

// query sends a statement and waits for the whole answer.
func (s *session) query(id, text string) (answer, error) {
	var got answer

	_ = s.conn.SetDeadline(time.Now().Add(8 * time.Second))

	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return got, err
	}

	for {
		line, err := s.line()
		if err != nil {
			return got, err
		}

		word, rest, _ := strings.Cut(line, " ")

		switch word {
		case "DATAROW":
			got.rows = append(got.rows, rest)
		case "COMPLETE":
			got.signature = rest
		case "ERROR":
			got.code, got.text, _ = strings.Cut(rest, " ")
		case "READY":
			got.state, _, _ = strings.Cut(rest, " ")

			return got, nil
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }

// lastRead returns the last run of a read.
func (r *recorder) lastRead(id string) readRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.reads[id]
}

// numberOf returns the number of the commit that holds a request, in the log of the primary.
func (s *service) numberOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	leader := s.primaryMember()
	if leader == nil {
		return 0
	}

	for i := len(leader.received) - 1; i >= 0; i-- {
		for _, held := range leader.received[i].ids {
			if held == id {
				return leader.received[i].number
			}
		}
	}

	return 0
}
