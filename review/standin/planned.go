package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// playPlanned replaces a primary as planned, in a service where a commit is acknowledged once one replica has received it,
// while the replica that the system chooses receives nothing for some seconds. Clients commit transactions that they had
// begun before. Each acknowledged commit has to be in the log of the member that is promoted.
func playPlanned(rec *recorder, trouble bool) []string {
	s := newService(rec, "registry-1", 1)
	s.promoteDelay = time.Second
	c := newCluster(rec, 3)

	defer c.close()

	var ids []string
	for range 4 {
		ids = append(ids, fmt.Sprintf("i-%010x", rand.Uint64()>>24))
	}

	// Of members that have received the same, the system chooses the one whose id comes first.
	slices.Sort(ids)

	former := s.add(ids[1], c.zones[0], "127.0.40.1:0")
	deaf := s.add(ids[0], c.zones[1], "127.0.41.1:0")
	s.add(ids[2], c.zones[2], "127.0.42.1:0")

	c.startAll([]map[string]any{{
		"name": "r-1", "host": "enrolment1", "pathPrefix": "/", "routeType": "primary", "timeoutMs": 1000, "targetLatencyMs": 200,
		"priority": 1, "service": s.name, "maxAttempts": 2,
	}}, s)
	time.Sleep(2 * time.Second)

	// The planned replacement of the primary: the new member starts first, with the log.
	added := s.add(ids[3], c.zones[0], "127.0.43.1:0")
	s.beatAll()
	rec.line("planned member=%s starts", added.id)
	time.Sleep(2 * time.Second)

	var (
		running      sync.WaitGroup
		mutex        sync.Mutex
		acknowledged []string
	)

	// Transactions whose clients pause before the commit, for less than txIdleMs.
	for i := range 12 {
		running.Go(func() {
			session, err := dialSession(c.address(i%3, portFront), "enrolment1")
			if err != nil {
				cannotRun("session: %v", err)
			}

			defer session.close()

			write := ""

			for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE %x t%d", rand.IntN(2000), i), "COMMIT"} {
				id := newID()

				if text == "COMMIT" {
					time.Sleep(1100*time.Millisecond + rand.N(1500*time.Millisecond))
				} else if text != "BEGIN" {
					write = id
				}

				got, err := session.query(id, text)
				rec.line("answered id=%s client=%d text=%q code=%q signature=%q state=%s error=%v", id, i, text, got.code, got.signature, got.state, err)

				if err != nil || !got.ok() {
					return
				}
			}

			mutex.Lock()
			acknowledged = append(acknowledged, write)
			mutex.Unlock()
		})
	}

	time.Sleep(300 * time.Millisecond)

	s.mutex.Lock()
	deaf.deaf = trouble
	s.mutex.Unlock()

	if trouble {
		rec.line("trouble member=%s receives nothing for 5 s", deaf.id)
		time.AfterFunc(5*time.Second, func() { s.resume(deaf) })
	}

	time.Sleep(300 * time.Millisecond)

	// The primary reports that it leaves.
	s.mutex.Lock()
	former.state = "draining"
	s.mutex.Unlock()
	rec.line("planned member=%s reports draining", former.id)
	s.beatAll()

	running.Wait()

	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		s.mutex.Lock()
		done := s.promotions > 0
		s.mutex.Unlock()

		if done {
			break
		}
	}

	s.mutex.Lock()
	promotions := s.promotions
	s.mutex.Unlock()

	if promotions == 0 {
		cannotRun("no member was promoted")
	}

	var broken []string

	held := s.logOfPrimary()
	for _, id := range acknowledged {
		if held[id] == 0 {
			broken = append(broken, fmt.Sprintf("the commit of write %s was acknowledged and isn't in the log of the member that was promoted", id))
		}
	}

	rec.line("acknowledged commits: %d", len(acknowledged))

	return broken
}
