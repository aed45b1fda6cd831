package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playRestart ends the primary and starts it again within downTime under its id, as a replica that holds nothing. Reads on a
// primary route have to see every commit that was acknowledged before.
func playRestart(rec *recorder, trouble bool) []string {
	const downTime = 300 * time.Millisecond

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
	time.Sleep(2 * time.Second)

	var (
		running sync.WaitGroup
		mutex   sync.Mutex
		// newest is the number of the newest acknowledged commit.
		newest int
		broken []string
		served int
	)

	end := time.Now().Add(24 * time.Second)

	for i := range 9 {
		running.Go(func() {
			for time.Now().Before(end) {
				session, err := dialSession(c.address(i%3, portFront), "enrolment1")
				if err != nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for time.Now().Before(end) {
					mutex.Lock()
					before := newest
					mutex.Unlock()

					id, text := newID(), fmt.Sprintf("READ %x", rand.IntN(2000))
					writes := rand.IntN(5) == 0

					if writes {
						text = fmt.Sprintf("WRITE %x w%d", rand.IntN(2000), i)
					}

					got, err := session.query(id, text)
					rec.line("answered id=%s text=%q rows=%v code=%q signature=%q state=%s error=%v", id, text, got.rows, got.code, got.signature, got.state, err)

					if err != nil || got.state != "I" {
						break
					}

					mutex.Lock()

					switch {
					case !got.ok():
					case writes:
						newest = max(newest, s.numberOf(id))
					default:
						served++

						if run := rec.lastRead(id); run.sees < before {
							broken = append(broken, fmt.Sprintf("read %s ran on member %s, whose log ends at commit %d; commit %d was acknowledged before it was sent",
								id, run.member, run.sees, before))
						}
					}

					mutex.Unlock()
					time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				}

				session.close()
			}
		})
	}

	time.Sleep(4 * time.Second)

	if trouble {
		s.mutex.Lock()
		former := s.primaryMember()
		s.mutex.Unlock()
		rec.line("trouble member=%s starts again under its id, within %s", former.id, downTime)
		former.restart(downTime)
	}

	running.Wait()
	rec.line("reads served: %d, newest acknowledged commit: %d, promotions: %d", served, newest, s.promotions)

	if served < 100 || newest < 20 {
		cannotRun("only %d reads and %d commits", served, newest)
	}

	return broken
}
