package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// runLost lets clients write in transactions to a group with syncReplicas 1. With trouble, the primary goes dark for a while, and a
// new replica, which replaces one of the others, starts before it is back. The rule is broken if a server is promoted without an acknowledged commit.
func runLost(record *recorder, trouble bool) (verdict, error) {
	const (
		trafficStart = 8 * time.Second
		darkStart    = 15 * time.Second
		// After the replicas were paused, which takes control 1.5 to 2 s, a new one starts and the primary is back.
		longestWait  = 2400 * time.Millisecond
		replicaDelay = 250 * time.Millisecond
		lightDelay   = 150 * time.Millisecond
		releaseDrain = time.Second
		trafficEnd   = 28 * time.Second
		arrival      = 70 * time.Millisecond
		maxSessions  = 100
	)

	d, err := newDeployment(record, vmCount, smallMemoryMB)
	if err != nil {
		return verdict{}, err
	}

	defer d.close()

	began := time.Now()

	for vm := range vmCount {
		for _, role := range []string{roleControl, roleProxy} {
			if _, err := d.start(vm, role); err != nil {
				return verdict{}, err
			}
		}
	}

	group, err := newSyncedGroup(d)
	if err != nil {
		return verdict{}, err
	}

	client := newOperator(d)
	client.syncReplicas, client.timeoutMs, client.routeType = 1, 1000, rolePrimary

	if acknowledged, err := client.replace(1, 1, began.Add(trafficStart)); err != nil || !acknowledged {
		return verdict{}, errors.Join(errNotAcknowledged, err)
	}

	time.Sleep(time.Until(began.Add(trafficStart)))

	var (
		clients sync.WaitGroup
		mutex   sync.Mutex
		told    int
	)

	running := make(chan struct{}, maxSessions)

	clients.Go(func() {
		for number := 0; time.Now().Before(began.Add(trafficEnd)); number++ {
			time.Sleep(arrival)

			running <- struct{}{}

			clients.Go(func() {
				defer func() { <-running }()

				if runTransaction(group, d.address(number%vmCount, portFront), number) {
					mutex.Lock()
					told++
					mutex.Unlock()
				}
			})
		}
	})

	if trouble {
		time.Sleep(time.Until(began.Add(darkStart)))
		group.setDark(true)

		select {
		case <-group.firstPause:
		case <-time.After(longestWait):
		}

		time.Sleep(replicaDelay)

		if err := group.addServer(1, false); err != nil {
			return verdict{}, err
		}

		time.Sleep(lightDelay)
		group.setDark(false)
		time.Sleep(releaseDrain)
		group.leave("i-2")
	}

	clients.Wait()

	group.mutex.Lock()
	defer group.mutex.Unlock()

	record.add("%d commits were acknowledged; %d of them were lost by a promotion", told, group.lost)

	if told == 0 {
		return verdict{}, errors.New("no transaction was committed")
	}

	return verdict{broken: group.lost > 0}, nil
}

// runTransaction runs a transaction with one write, and reports whether the client was told that it is committed.
func runTransaction(group *syncedGroup, address string, number int) bool {
	const (
		shortestPause = 1000 * time.Millisecond
		longestPause  = 2400 * time.Millisecond
	)

	id := func(statement int) string { return fmt.Sprintf("%015x%d", number+1, statement) }

	opened, _ := openSession(address, id(0))
	if opened == nil {
		return false
	}

	defer func() { _ = opened.conn.Close() }()

	if _, err := opened.call("QUERY "+id(1)+" BEGIN", "READY T"); err != nil {
		return false
	}

	if written, _ := opened.query(id(2), "WRITE item"+id(2)+" value"); !written {
		return false
	}

	time.Sleep(shortestPause + rand.N(longestPause-shortestPause))

	committed, _ := opened.query(id(3), "COMMIT")
	if committed {
		group.recordAcknowledged(id(2))
	}

	return committed
}
