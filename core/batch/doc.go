// Package batch shares one expensive round of work among all callers that ask for it at the same time (request
// coalescing).
//
// A caller of Rounds.Do is answered by a round that began after the call. Callers that arrive while a round is
// running share the next one. This is what a read index or a barrier needs: evidence that is newer than the
// request, at a cost that does not grow with the number of requests.
//
// # Usage
//
//	rounds := batch.New(func(ctx context.Context) (uint64, error) { return log.Confirm(ctx) })
//	index, err := rounds.Do(ctx)
package batch
