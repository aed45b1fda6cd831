// Package permit shares the connections and statement slots of one backend server among many proxies by means of single
// permits, which a group's coordinator hands out; package share divides only connections, by numbers that proxies
// report.
//
// A backend server announces how many connections and how many running statements it accepts in total. A Broker grants
// permits for both. It never has more permits outstanding than the limits allow, less a reserve of connections for
// administration. It is a pure state machine: the time is an argument, and the answers to waiting requests are return
// values. It has no locks; the owner serialises the calls.
//
// # Safety
//
// Each permit has a number that its holder chose. The numbers of one holder increase, and each second the holder
// reports which numbers it holds or waits for, and the next number that it will choose. From this the broker learns of
// permits whose grant or release was lost in transit: a smaller number that is not listed is no longer held and can't
// be used again. No clock is involved.
//
// The permits of a holder that is gone are freed only when the backend server shows no connection of it, because its
// statements may still be running there. A new broker (a new epoch of the coordinator) first collects the reports of
// all live holders and the connections that the backend server shows, and grants nothing beyond what these leave free.
// A live holder that does not report within the grace period is charged with the connections that the server shows.
// This is an upper bound if the grace period is at least as long as the lease under which holders open connections,
// because a holder opens none under an older epoch and none without a lease.
//
// # Order
//
// Urgent requests are served before routine ones. After 7 urgent grants in a row one waiting routine request is served.
// Queues are bounded, and a request for a slot that is expected to miss its deadline is refused at once.
//
// # Usage
//
//	broker := permit.New(permit.Limits{Connections: 35, Slots: 5, AdminReserve: 2, MaxWaiting: 100}, now, 3*time.Second)
//	broker.SetLiveHolders(now, holders)
//	broker.HandleReport(now, report) // From each holder.
//	broker.HandleConnectionCounts(now, asked, shown) // What the backend server shows.
//	for _, answer := range broker.Acquire(now, request) { deliver(answer) }
package permit
