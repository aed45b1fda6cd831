// Package result defines the result codes that almondgrade reports to callers and operators.
//
// Each Code determines whether the request ran and whether repeating it is safe. It has a SQLSTATE for callers that
// don't know almondgrade's codes, and a counter with the code's name. docs/result-codes.md holds the same table; a test
// compares the two.
//
// # Usage
//
//	return result.New(result.NoPrimary, "group %s has no primary in term %d", group, term)
//
//	var failure *result.Error
//	if errors.As(err, &failure) && failure.Code.Ran() == result.RanNo { retry() }
package result
