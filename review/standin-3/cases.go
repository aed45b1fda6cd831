package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	vmCount = 3
	// smallMemoryMB is the limit on the memory of a process of the small deployments, grownMemoryMB that of the grown ones.
	smallMemoryMB = 284
	grownMemoryMB = 184
)

// runMemory lets two operators send hundreds of configurations, each one after the other. With trouble each of them has 3,840
// routes, else 40. The rule is broken if two of the three control processes exceed the memory limit three times.
func runMemory(record *recorder, trouble bool) (verdict, error) {
	const (
		manyRoutes = 2 * 1920
		fewRoutes  = 40
		checkEvery = 50 * time.Millisecond
		brokenEnds = 3
	)

	d, err := newDeployment(record, vmCount, grownMemoryMB)
	if err != nil {
		return verdict{}, err
	}

	defer d.close()

	var controls []*process

	for vm := range vmCount {
		control, err := d.start(vm, roleControl)
		if err != nil {
			return verdict{}, err
		}

		controls = append(controls, control)
	}

	done := make(chan struct{})

	var watching sync.WaitGroup

	for _, control := range controls {
		watching.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(checkEvery):
					control.enforceMemoryLimit()
				}
			}
		})
	}

	routes := fewRoutes
	if trouble {
		routes = manyRoutes
	}

	exceeded := func() int { return countExceeded(controls, brokenEnds) }
	acknowledged, err := sendConfigurations(d, controls, routes, func() bool { return 2*exceeded() > vmCount })

	close(done)
	watching.Wait()

	if err != nil {
		return verdict{}, err
	}

	processes := exceeded()
	record.add("%d configurations were acknowledged; %d of %d control processes ended %d times or more because of their memory",
		acknowledged, processes, vmCount, brokenEnds)

	return verdict{broken: 2*processes > vmCount}, nil
}

// countExceeded returns the number of processes that have exceeded their memory limit the given number of times.
func countExceeded(controls []*process, times int) (processes int) {
	for _, control := range controls {
		control.mutex.Lock()
		if control.overLimit >= times {
			processes++
		}
		control.mutex.Unlock()
	}

	return processes
}

// sendConfigurations lets two operators send configurations until the time is over or stop returns true. It returns how many
// were acknowledged.
func sendConfigurations(d *deployment, controls []*process, routes int, stop func() bool) (int64, error) {
	const (
		operatorCount = 2
		// operatorGap is the least time between two changes of an operator, so that both together send one each 60 ms.
		operatorGap = 120 * time.Millisecond
		changes     = 700
		changeTime  = 105 * time.Second
		reportEvery = 25
	)

	var (
		version, acknowledged atomic.Int64
		refused               atomic.Pointer[error]
		operators             sync.WaitGroup
	)

	end := time.Now().Add(changeTime)

	for range operatorCount {
		client := newOperator(d)

		operators.Go(func() {
			for time.Now().Before(end) && !stop() && refused.Load() == nil {
				next := int(version.Add(1))
				if next > changes {
					return
				}

				due := time.Now().Add(operatorGap)
				success, err := client.replace(next, routes, end)
				if err != nil {
					refused.Store(&err)
				}

				if success {
					acknowledged.Add(1)
				}

				if next%reportEvery == 0 {
					d.record.add("configuration %d with %d routes acknowledged: %t; memory of control: %d, %d and %d MiB", next, routes, success,
						controls[0].memory()>>20, controls[1].memory()>>20, controls[2].memory()>>20)
				}

				time.Sleep(time.Until(due))
			}
		})
	}

	operators.Wait()

	if err := refused.Load(); err != nil {
		return 0, *err
	}

	return acknowledged.Load(), nil
}

// runForeign lets a client write and read its own writes. With trouble, another writer announces a server of another deployment
// under the name of the service, in heartbeats that lack fields. The rule is broken if a session doesn't read what it has
// written.
func runForeign(record *recorder, trouble bool) (verdict, error) {
	const (
		trafficStart  = 10 * time.Second
		heartbeatTime = 20 * time.Second
		trafficEnd    = 50 * time.Second
		pause         = 100 * time.Millisecond
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

	if _, err := newDatabase(d, groupName); err != nil {
		return verdict{}, err
	}

	if acknowledged, err := newOperator(d).replace(1, 1, began.Add(trafficStart)); err != nil || !acknowledged {
		return verdict{}, errors.Join(errNotAcknowledged, err)
	}

	time.Sleep(time.Until(began.Add(trafficStart)))

	if trouble {
		time.AfterFunc(heartbeatTime-trafficStart, func() {
			if err := newForeignServer(d, groupName); err != nil {
				record.add("the other server could not be started: %v", err)
			}
		})
	}

	var (
		clients      sync.WaitGroup
		mutex        sync.Mutex
		reads, wrong int
	)

	for vm := range vmCount {
		clients.Go(func() {
			for round := 0; time.Now().Before(began.Add(trafficEnd)); round++ {
				time.Sleep(pause)

				served, matches := writeAndRead(record, d.address(vm, portFront), vm, round)

				mutex.Lock()
				if served {
					reads++
				}

				if served && !matches {
					wrong++
				}
				mutex.Unlock()
			}
		})
	}

	clients.Wait()
	record.add("%d of %d reads did not return what their session had written", wrong, reads)

	if reads == 0 {
		return verdict{}, errors.New("no read was served")
	}

	return verdict{broken: wrong > 0}, nil
}

// writeAndRead opens a session, writes an item that no other session uses, and reads it. It reports whether both statements
// succeeded, and whether the read returned what was written.
func writeAndRead(record *recorder, address string, vm, round int) (served, matches bool) {
	id := func(statement int) string { return fmt.Sprintf("%08x%07x%d", vm+1, round, statement) }
	item, value := fmt.Sprintf("k%d.%d", vm, round), fmt.Sprintf("v%d.%d", vm, round)

	opened, last := openSession(address, id(0))
	if opened == nil {
		record.add("VM %d refuses a session: %s", vm+1, last)

		return false, false
	}

	defer func() { _ = opened.conn.Close() }()

	written, answer := opened.query(id(1), "WRITE "+item+" "+value)
	record.add("client sends %s WRITE %s %s to VM %d: %s", id(1), item, value, vm+1, answer)

	if !written {
		return false, false
	}

	read, answer := opened.query(id(2), "READ "+item)
	record.add("client sends %s READ %s to VM %d: %s", id(2), item, vm+1, answer)

	return read, strings.HasPrefix(answer, "DATAROW "+value+" | ")
}

// runHidden lets a client write. With trouble, another writer sends one heartbeat for each server before that, which names
// another service. The rule is broken if no request is served.
func runHidden(record *recorder, trouble bool) (verdict, error) {
	const (
		heartbeatTime = 7 * time.Second
		trafficStart  = 10 * time.Second
		trafficEnd    = 60 * time.Second
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

	group, err := newDatabase(d, groupName)
	if err != nil {
		return verdict{}, err
	}

	if acknowledged, err := newOperator(d).replace(1, 1, began.Add(heartbeatTime)); err != nil || !acknowledged {
		return verdict{}, errors.Join(errNotAcknowledged, err)
	}

	time.Sleep(time.Until(began.Add(heartbeatTime)))

	if trouble {
		if err := group.announceElsewhere(); err != nil {
			return verdict{}, err
		}
	}

	time.Sleep(time.Until(began.Add(trafficStart)))

	served, sent := sendWrites(record, d, began.Add(trafficEnd))
	record.add("%d of %d requests were served", served, sent)

	return verdict{broken: served == 0}, nil
}

// sendWrites sends writes to the proxies in turn until the given time. It returns how many were served and sent.
func sendWrites(record *recorder, d *deployment, end time.Time) (served, sent int) {
	for ; time.Now().Before(end); sent++ {
		id := fmt.Sprintf("%016x", sent+1)
		success, last := callOnce(d.address(sent%vmCount, portFront), id, "item")
		record.add("client sends %s WRITE to VM %d: served=%t %q", id, sent%vmCount+1, success, last)

		if success {
			served++
		}

		time.Sleep(500 * time.Millisecond)
	}

	return served, sent
}
