// Package batch coalesces concurrent requests for the same expensive work into shared rounds.
//
// Rounds.Do returns the result of a round that began after the call. Callers that arrive while a round is running share
// the next one. A read index or a barrier needs this: its evidence must be newer than the request, and its cost must not
// grow with the number of requests.
//
// # Usage
//
//	rounds := batch.New(func(ctx context.Context) (uint64, error) { return log.Confirm(ctx) })
//	index, err := rounds.Do(ctx)
package batch
