package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/permit"
	"almondgrade/core/result"
)

//nolint:gochecknoglobals // Constants.
var (
	start = time.Unix(1000, 0)
	p1    = permit.Holder{Proxy: "p1", Instance: 1}
	p2    = permit.Holder{Proxy: "p2", Instance: 2}
)

// newReadyBroker returns a broker that has collected the reports of two holders and grants permits.
func newReadyBroker(limits permit.Limits) *permit.Broker {
	broker := permit.New(limits, start, lease)
	broker.SetLiveHolders(start, []permit.Holder{p1, p2})
	broker.HandleReport(start, permit.Report{Holder: p1, Sequence: 1})
	broker.HandleReport(start, permit.Report{Holder: p2, Sequence: 1})
	broker.HandleConnectionCounts(start.Add(2), start.Add(1), nil)

	return broker
}

func slot(holder permit.Holder, number uint64, urgent bool) permit.Request {
	return permit.Request{
		ID:     permit.ID{Holder: holder, Number: number, Kind: permit.Slot},
		Urgent: urgent, Deadline: start.Add(time.Minute),
	}
}

func connection(holder permit.Holder, number uint64) permit.Request {
	return permit.Request{
		ID:       permit.ID{Holder: holder, Number: number, Kind: permit.Connection},
		Deadline: start.Add(time.Minute),
	}
}

func codes(answers []permit.Answer) []result.Code {
	list := make([]result.Code, 0, len(answers))
	for _, answer := range answers {
		list = append(list, answer.Code)
	}

	return list
}

// Guards against routine requests that overtake urgent ones or starve. The reference version scans all waiting requests
// in order of arrival for each grant.
func TestGrantOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		broker := newReadyBroker(permit.Limits{Slots: 1, MaxWaiting: 1000})
		require.Len(t, broker.Acquire(start, slot(p1, 0, true)), 1)

		var waiting []permit.Request

		next, holds, streak := uint64(1), uint64(0), 1

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 || len(waiting) == 0 {
				request := slot(p1, next, rapid.IntRange(0, 3).Draw(t, "urgent") > 0)
				next++

				require.Empty(t, broker.Acquire(start, request))

				waiting = append(waiting, request)

				continue
			}

			want := naiveNext(waiting, streak)
			answers := broker.Release(start, p1, holds)
			require.Equal(t, []permit.Answer{{ID: waiting[want].ID}}, answers)

			streak++
			if !waiting[want].Urgent {
				streak = 0
			}

			holds = waiting[want].Number
			waiting = append(waiting[:want:want], waiting[want+1:]...)
		}
	})
}

func naiveNext(waiting []permit.Request, streak int) int {
	urgent, routine := -1, -1

	for i := len(waiting) - 1; i >= 0; i-- {
		if waiting[i].Urgent {
			urgent = i
		} else {
			routine = i
		}
	}

	if urgent < 0 || streak >= 7 && routine >= 0 {
		return routine
	}

	return urgent
}

// Guards against requests that wait although they can't be served in time.
func TestEarlyRefusal(t *testing.T) {
	t.Parallel()

	broker := newReadyBroker(permit.Limits{Slots: 1, MaxWaiting: 2})
	now := start

	// Each permit is held for a second, so that the expected wait of the next request approaches a second.
	for number := range uint64(40) {
		require.Equal(t, []result.Code{result.OK}, codes(broker.Acquire(now, slot(p1, number, false))))

		now = now.Add(time.Second)
		broker.Release(now, p1, number)
	}

	request := slot(p1, 100, false)
	request.Deadline = now.Add(100 * time.Millisecond)
	require.Equal(t, []result.Code{result.OK}, codes(broker.Acquire(now, request)), "a free slot needs no wait")

	request.Number = 101
	assert.Equal(t, []result.Code{result.DeadlinePassed}, codes(broker.Acquire(now, request)))

	request.Deadline = now.Add(10 * time.Second)

	for number := range uint64(2) {
		request.Number = 200 + number
		assert.Empty(t, broker.Acquire(now, request))
	}

	request.Number = 202
	assert.Equal(t, []result.Code{result.QueueFull}, codes(broker.Acquire(now, request)))

	urgent := request
	urgent.Number, urgent.Urgent = 203, true
	assert.Empty(t, broker.Acquire(now, urgent), "a full routine queue refuses no urgent request")

	answers := broker.ExpireRequests(request.Deadline)
	assert.Equal(t, []result.Code{result.DeadlinePassed, result.DeadlinePassed, result.DeadlinePassed}, codes(answers))
	assert.Zero(t, broker.WaitingCount(permit.Slot))
}

// Guards against grants beyond limits that were lowered while permits were held.
func TestSmallerLimits(t *testing.T) {
	t.Parallel()

	limits := permit.Limits{Connections: 6, Slots: 1, AdminReserve: 2, MaxWaiting: 10}
	broker := newReadyBroker(limits)

	for number := range uint64(4) {
		require.Len(t, broker.Acquire(start, connection(p1, number)), 1)
	}

	assert.Empty(t, broker.Acquire(start, connection(p2, 0)))

	limits.Connections = 4
	assert.Empty(t, broker.SetLimits(start, limits))
	assert.Empty(t, broker.Release(start, p1, 0, 1), "two are left of two permitted")
	assert.Equal(t, []result.Code{result.OK}, codes(broker.Release(start, p1, 2)))

	limits.Connections = 7
	assert.Empty(t, broker.SetLimits(start, limits))
	assert.Equal(t, 3, broker.FreeCount(permit.Connection))
}

// Guards against permits that are freed while the server still shows connections of a dead proxy, and against permits
// of a proxy that was replaced by another process of the same name.
func TestGoneHolder(t *testing.T) {
	t.Parallel()

	broker := newReadyBroker(permit.Limits{Connections: 4, Slots: 1, AdminReserve: 2, MaxWaiting: 10})
	require.Len(t, broker.Acquire(start, connection(p1, 0)), 1)
	require.Len(t, broker.Acquire(start, connection(p1, 1)), 1)
	assert.Empty(t, broker.Acquire(start, connection(p2, 0)))

	restarted := permit.Holder{Proxy: "p1", Instance: 9}
	died := start.Add(time.Second)
	assert.Empty(t, broker.SetLiveHolders(died, []permit.Holder{restarted, p2}))
	assert.Equal(t, []permit.Holder{p1}, broker.GoneHolders())

	answers := broker.HandleConnectionCounts(died.Add(2), died, nil)
	assert.Empty(t, answers, "the server was asked before the proxy was gone")

	answers = broker.HandleConnectionCounts(died.Add(3), died.Add(1), map[permit.Holder]int{p1: 1, restarted: 1})
	assert.Empty(t, answers, "a connection of the dead process is left")

	answers = broker.HandleConnectionCounts(died.Add(4), died.Add(2), map[permit.Holder]int{restarted: 1})
	assert.Equal(t, []result.Code{result.OK}, codes(answers))
	assert.Empty(t, broker.GoneHolders())

	answers = broker.Acquire(died, connection(restarted, 0))
	assert.Equal(t, []result.Code{result.OutdatedEpoch}, codes(answers), "a holder must report first")
}

// Guards against permits of a dead process that are freed while the server shows a connection that may belong to it,
// because the connection's name does not identify the process.
func TestNamesWithoutInstance(t *testing.T) {
	t.Parallel()

	broker := newReadyBroker(permit.Limits{Connections: 4, Slots: 1, AdminReserve: 2, MaxWaiting: 10})
	unnamedInstance := permit.Holder{Proxy: "p1"}
	restarted := permit.Holder{Proxy: "p1", Instance: 9}

	require.Len(t, broker.Acquire(start, connection(p1, 0)), 1)
	broker.SetLiveHolders(start.Add(1), []permit.Holder{restarted, p2})
	broker.HandleReport(start.Add(1), permit.Report{Holder: restarted, Sequence: 1})
	require.Len(t, broker.Acquire(start, connection(restarted, 0)), 1)

	broker.HandleConnectionCounts(start.Add(5), start.Add(4), map[permit.Holder]int{unnamedInstance: 2})
	assert.Contains(t, broker.GoneHolders(), p1)

	broker.HandleConnectionCounts(start.Add(7), start.Add(6), map[permit.Holder]int{unnamedInstance: 1})
	assert.NotContains(t, broker.GoneHolders(), p1)
}

// Guards against a grant that is never returned: the request arrives after its holder has abandoned it.
func TestLateRequest(t *testing.T) {
	t.Parallel()

	broker := newReadyBroker(permit.Limits{Slots: 2, MaxWaiting: 10})
	broker.Release(start, p1, 5)
	assert.Equal(t, []result.Code{result.NoPermit}, codes(broker.Acquire(start, slot(p1, 5, false))))

	broker.HandleReport(start, permit.Report{Holder: p1, Sequence: 2, NextNumber: 8, Held: []permit.HeldPermit{
		{Number: 7, Kind: permit.Slot, Pending: true},
	}})
	assert.Equal(t, []result.Code{result.NoPermit}, codes(broker.Acquire(start, slot(p1, 6, false))))
	assert.Equal(t, []result.Code{result.OK}, codes(broker.Acquire(start, slot(p1, 7, false))))
	assert.Equal(t, []result.Code{result.OK}, codes(broker.Acquire(start, slot(p1, 7, false))), "repeated")
	assert.Equal(t, 1, broker.UsedCount(permit.Slot))
}

// Guards against a new broker that grants before it knows which permits are held, and against one that never grants
// because a live proxy can't reach it.
func TestNewBrokerCollectsBeforeGranting(t *testing.T) {
	t.Parallel()

	broker := permit.New(permit.Limits{Connections: 5, Slots: 2, AdminReserve: 2, MaxWaiting: 10}, start, lease)
	broker.SetLiveHolders(start, []permit.Holder{p1, p2})
	broker.HandleReport(start, permit.Report{Holder: p1, Sequence: 1, NextNumber: 1, Held: []permit.HeldPermit{{Kind: permit.Connection}}})
	assert.Empty(t, broker.Acquire(start, connection(p1, 1)))
	assert.Empty(t, broker.HandleConnectionCounts(start.Add(2), start.Add(1), map[permit.Holder]int{p1: 1, p2: 1}))
	assert.False(t, broker.Collected())

	late := start.Add(lease)
	answers := broker.HandleConnectionCounts(late.Add(2), late.Add(1), map[permit.Holder]int{p1: 1, p2: 1})
	assert.Equal(t, []result.Code{result.OK}, codes(answers), "one of three is left")
	assert.Zero(t, broker.FreeCount(permit.Connection))
}

func Example() {
	now := time.Unix(0, 0)
	holder := permit.Holder{Proxy: "p1", Instance: 1}
	broker := permit.New(permit.Limits{Connections: 35, Slots: 1, AdminReserve: 2, MaxWaiting: 100}, now, 3*time.Second)

	// A new broker first collects which permits are held.
	broker.SetLiveHolders(now, []permit.Holder{holder})
	broker.HandleReport(now, permit.Report{Holder: holder, Sequence: 1})
	broker.HandleConnectionCounts(now.Add(2*time.Millisecond), now.Add(time.Millisecond), nil)

	ask := func(number uint64) []permit.Answer {
		return broker.Acquire(now, permit.Request{
			ID:       permit.ID{Holder: holder, Number: number, Kind: permit.Slot},
			Deadline: now.Add(time.Second),
		})
	}

	fmt.Println("granted:", len(ask(1)), "waiting:", len(ask(2)) == 0)

	for _, answer := range broker.Release(now, holder, 1) {
		fmt.Println("now granted:", answer.Number)
	}
	// Output:
	// granted: 1 waiting: true
	// now granted: 2
}

// Guards against an urgent request that waits because routine traffic holds all connections, and against routine
// requests that get the reserve for urgent ones when connections are returned.
func TestUrgentConnections(t *testing.T) {
	t.Parallel()

	broker := newReadyBroker(permit.Limits{Connections: 6, AdminReserve: 2, UrgentReserve: 1, MaxWaiting: 10})
	urgent := connection(p2, 1)
	urgent.Urgent = true

	for number := uint64(1); number <= 3; number++ {
		require.Len(t, broker.Acquire(start.Add(2), connection(p1, number)), 1)
	}

	require.Empty(t, broker.Acquire(start.Add(2), connection(p1, 4)), "the last connection is kept")
	require.Len(t, broker.Acquire(start.Add(2), urgent), 1, "an urgent request overtakes a routine one that waits")
	assert.Empty(t, broker.Release(start.Add(3), p2, 1), "what is kept does not go to a routine request")

	answers := broker.Release(start.Add(3), p1, 1)
	require.Len(t, answers, 1)
	assert.Equal(t, uint64(4), answers[0].Number)
	assert.Equal(t, 3, broker.UsedCount(permit.Connection))
}
