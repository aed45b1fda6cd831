package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sessionsEach is the number of sessions with transactions, and of those with single writes.
	sessionsEach = 16
	// failingShare and episodeLength are the share of requests that the server fails, and for how long.
	failingShare  = 0.45
	episodeLength = 6 * time.Second
	// episodes is the number of times that this happens.
	episodes = 3
)

// playSetup has clients with session values run transactions, and clients without run single writes, while a server fails a
// part of its requests. Each single write that was acknowledged has to be in the log.
func playSetup(rec *recorder, trouble bool) []string {
	s := newService(rec, "registry-1", 0)
	c := newCluster(rec, 3)

	defer c.close()

	for i := range 3 {
		s.add(fmt.Sprintf("i-%010x", rand.Uint64()>>24), c.zones[i], fmt.Sprintf("127.0.%d.1:0", 40+i))
	}

	c.startAll([]map[string]any{{
		"name": "r-1", "host": "enrolment1", "pathPrefix": "/", "routeType": "primary", "timeoutMs": 1000, "targetLatencyMs": 200,
		"priority": 1, "service": s.name, "maxAttempts": 2,
	}}, s)

	var (
		running      sync.WaitGroup
		mutex        sync.Mutex
		acknowledged []string
	)

	end := time.Now().Add(32 * time.Second)

	// Sessions with values and transactions.
	for i := range sessionsEach {
		running.Go(func() {
			for time.Now().Before(end) {
				session, err := dialSession(c.address(i%3, portFront), "enrolment1")
				if err != nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				runTransactions(rec, session, i, end)
				session.close()
			}
		})
	}

	// Sessions with single writes.
	for i := range sessionsEach {
		running.Go(func() {
			for time.Now().Before(end) {
				session, err := dialSession(c.address(i%3, portFront), "enrolment1")
				if err != nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for time.Now().Before(end) {
					id := newID()

					got, err := session.query(id, fmt.Sprintf("WRITE %x w%d", rand.IntN(2000), i))
					rec.line("answered id=%s text=WRITE code=%q signature=%q state=%s error=%v", id, got.code, got.signature, got.state, err)

					if err != nil || got.state != "I" {
						break
					}

					if got.ok() {
						mutex.Lock()
						acknowledged = append(acknowledged, id)
						mutex.Unlock()
					}

					time.Sleep(time.Duration(10+rand.IntN(40)) * time.Millisecond)
				}

				session.close()
			}
		})
	}

	s.mutex.Lock()
	failing := s.primaryMember()
	s.mutex.Unlock()

	for range episodes {
		time.Sleep(3 * time.Second)

		if !trouble {
			continue
		}

		s.setFailing(failing, failingShare)
		rec.line("trouble member=%s fails %.2f of its requests for %s", failing.id, failingShare, episodeLength)
		time.Sleep(episodeLength)
		s.setFailing(failing, 0)
		rec.line("trouble ends")
	}

	running.Wait()
	time.Sleep(500 * time.Millisecond)

	if s.promotions > 0 {
		cannotRun("a replica was promoted, which may discard commits")
	}

	rec.line("acknowledged single writes: %d", len(acknowledged))

	if len(acknowledged) < 100 {
		cannotRun("only %d single writes were acknowledged", len(acknowledged))
	}

	var broken []string

	held := s.logOfPrimary()
	for _, id := range acknowledged {
		if held[id] == 0 {
			broken = append(broken, fmt.Sprintf("write %s was acknowledged, ran inside another client's transaction, and is not in the log", id))
		}
	}

	return broken
}

// setFailing sets the share of the requests that a member fails.
func (s *service) setFailing(m *member, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	m.fails = share
}

// runTransactions sets session values and runs transactions until one of them fails.
func runTransactions(rec *recorder, s *session, client int, end time.Time) {
	for _, text := range []string{fmt.Sprintf("SET v%d x%d", client%3, client), fmt.Sprintf("SET zone z%d", client)} {
		if got, err := s.query(newID(), text); err != nil || !got.ok() {
			return
		}
	}

	for time.Now().Before(end) {
		for _, text := range []string{"BEGIN", fmt.Sprintf("READ %x", rand.IntN(2000)), fmt.Sprintf("WRITE %x t%d", rand.IntN(2000), client), "COMMIT"} {
			id := newID()

			got, err := s.query(id, text)
			rec.line("answered id=%s client=%d text=%q code=%q state=%s error=%v", id, client, text, got.code, got.state, err)

			if err != nil {
				return
			}

			if !got.ok() {
				if got.state != "I" {
					_, _ = s.query(newID(), "ROLLBACK")
				}

				break
			}

			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		}

		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}
