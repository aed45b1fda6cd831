// Package admission limits the requests that run and wait in one process; packages permit and share limit the load that
// all proxies together put on a backend server.
//
// A Queue lets a limited number of requests run at once. Others wait, ordered by class and then by arrival. Urgent
// requests go first; after 7 urgent requests in a row one waiting routine request is started. Each class has its own
// limit of waiting requests, so that many routine requests cause no urgent one to be refused. A request is refused at
// once, with a code that says that it did not run, if its class is full or its expected wait exceeds its deadline. A
// request whose deadline passes while it waits is refused without having run.
//
// A Queue is a pure state machine: the time is an argument, and the requests to start or to refuse are return values.
// It is not safe for concurrent use.
//
// # Usage
//
//	queue := admission.New[*request](admission.Limits{MaxRunning: 100, MaxWaiting: 1000})
//	decision := queue.Offer(now, admission.Item[*request]{Value: r, Class: admission.Urgent, Deadline: deadline})
//	switch {
//	case decision.Run:
//		start(r)
//	case decision.Code != result.OK:
//		refuse(r, decision.Code)
//	}
//	// When a request ends:
//	for _, next := range queue.Done(now, took) { start(next) }
package admission
