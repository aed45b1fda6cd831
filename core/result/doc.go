// Package result numbers the outcomes that almondgrade reports to callers and operators.
//
// Each Code says whether the request ran and whether repeating it is safe. A code has a SQLSTATE, for callers
// that know nothing of almondgrade, and a counter of the same name. docs/result-codes.md holds the same table;
// a test compares the two.
//
// # Usage
//
//	return result.New(result.NoPrimary, "group %s has no primary in term %d", group, term)
//
//	var failure *result.Error
//	if errors.As(err, &failure) && failure.Code.Ran() == result.RanNo { retry() }
package result
