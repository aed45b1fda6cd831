package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondgrade/core/share"
	"almondgrade/core/topology"
)

// Severity says what a finding means for the configuration.
type Severity string

// The severities.
const (
	// Error means that control refuses the configuration or, for CodeNumberNotHigher, that it changes nothing.
	Error Severity = "error"
	// Warning means that control accepts the configuration, but a part of it has no effect or serves nobody.
	Warning Severity = "warning"
	// Difference is a difference from the configuration in force.
	Difference Severity = "difference"
)

func (s Severity) rank() int {
	return slices.Index([]Severity{Error, Warning, Difference}, s)
}

// Kind is the kind of entry that a finding is about.
type Kind string

// The kinds of entries.
const (
	KindConfiguration Kind = "configuration"
	KindPool          Kind = "pool"
	KindGroup         Kind = "group"
	KindCustomer      Kind = "customer"
)

// Code identifies what was found. Codes are stable, so that scripts can rely on them.
type Code string

// The codes of errors.
const (
	CodeUndecodable     Code = "undecodable"
	CodeNoName          Code = "no-name"
	CodeListedTwice     Code = "listed-twice"
	CodeNegativeLimit   Code = "negative-limit"
	CodeNoDatabase      Code = "no-database"
	CodeUnknownGroup    Code = "unknown-group"
	CodeSharedDatabase  Code = "shared-database"
	CodeNoTimeout       Code = "no-timeout"
	CodeSharedKey       Code = "shared-key"
	CodeNumberNotHigher Code = "number-not-higher"
)

// The codes of warnings.
const (
	CodeHiddenPool         Code = "hidden-pool"
	CodeNoKeys             Code = "no-keys"
	CodeRepeatedKey        Code = "repeated-key"
	CodeUnusedGroup        Code = "unused-group"
	CodeNobodyAdmitted     Code = "nobody-admitted"
	CodeTargetOverTimeout  Code = "target-over-timeout"
	CodeNoMaxAge           Code = "no-max-age"
	CodeNoOperations       Code = "no-operations"
	CodeNoRates            Code = "no-rates"
	CodeTooFewConnections  Code = "too-few-connections"
	CodeBurstWithoutEffect Code = "burst-without-effect"
)

// The codes of differences.
const (
	CodeAdded             Code = "added"
	CodeRemoved           Code = "removed"
	CodeChanged           Code = "changed"
	CodeKeysChanged       Code = "keys-changed"
	CodeCustomersSwitched Code = "customers-switched"
)

// Finding is one result of a check. Its message holds no keys.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Kind     Kind     `json:"kind"`
	// Name is the name of the entry. It is empty for KindConfiguration and for entries without a name.
	Name    string `json:"name,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	subject := string(f.Kind)
	if f.Name != "" {
		subject += fmt.Sprintf(" %q", f.Name)
	}

	return fmt.Sprintf("%s: %s: %s (%s)", f.Severity, subject, f.Message, f.Code)
}

// Undecodable returns the finding for a fault of the document that a configuration was decoded from.
func Undecodable(message string) Finding {
	return Finding{Error, CodeUndecodable, KindConfiguration, "", message}
}

// Worst returns the highest severity of the findings, or "" if there are none.
func Worst(findings []Finding) Severity {
	if len(findings) == 0 {
		return ""
	}

	return slices.MinFunc(findings, bySeverity).Severity
}

// Sort orders findings by severity, errors first. Findings of a severity keep their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, bySeverity)
}

func bySeverity(a, b Finding) int {
	return cmp.Compare(a.Severity.rank(), b.Severity.rank())
}

// findings collects findings.
type findings []Finding

func (f *findings) add(severity Severity, code Code, kind Kind, name, format string, args ...any) {
	*f = append(*f, Finding{severity, code, kind, name, fmt.Sprintf(format, args...)})
}

// Configuration returns the errors and warnings of a configuration, errors first.
func Configuration(configuration *topology.Configuration) []Finding {
	var found findings

	found.checkGroups(configuration)
	found.checkPools(configuration)

	if configuration.Customers != nil {
		found.checkCustomers(configuration)
		found.checkKeys(configuration.Customers.Entries)
	}

	Sort(found)

	return found
}

func (f *findings) checkGroups(configuration *topology.Configuration) {
	used := make(map[string]bool)
	for _, pool := range configuration.Pools {
		used[pool.Group] = true
	}

	seen := make(map[string]bool)

	for _, group := range configuration.Groups {
		if group.Name == "" {
			f.add(Error, CodeNoName, KindGroup, "", "a group has no name")

			continue
		}

		if seen[group.Name] {
			f.add(Error, CodeListedTwice, KindGroup, group.Name, "it is listed twice")

			continue
		}

		seen[group.Name] = true

		if group.MaxConnections < 0 || group.SyncReplicas < 0 {
			f.add(Error, CodeNegativeLimit, KindGroup, group.Name, "maxConns is %d and syncReplicas is %d; neither may be negative",
				group.MaxConnections, group.SyncReplicas)
		} else if group.MaxConnections <= share.ReservedConnections {
			f.add(Warning, CodeTooFewConnections, KindGroup, group.Name, "maxConns is %d, of which control reserves %d; proxies need at least %d in all",
				group.MaxConnections, share.ReservedConnections, share.ReservedConnections+1)
		}

		if !used[group.Name] {
			f.add(Warning, CodeUnusedGroup, KindGroup, group.Name, "no pool uses it")
		}
	}
}

func (f *findings) checkPools(configuration *topology.Configuration) {
	groups := make(map[string]bool)
	for _, group := range configuration.Groups {
		groups[group.Name] = true
	}

	// Callers send the database but not the path, and proxies keep the last pool of a database.
	last := make(map[string]int)
	for i, pool := range configuration.Pools {
		last[pool.Database] = i
	}

	first := make(map[[2]string]string)
	keyless := configuration.Customers != nil && countKeys(configuration.Customers.Entries) == 0

	for i, pool := range configuration.Pools {
		f.checkPool(&pool)

		if !groups[pool.Group] {
			f.add(Error, CodeUnknownGroup, KindPool, pool.Name, "its group %q is not listed", pool.Group)
		}

		key := [2]string{pool.Database, pool.Path}
		if other, taken := first[key]; taken && pool.Database != "" {
			f.add(Error, CodeSharedDatabase, KindPool, pool.Name, "it shares the database %q with the pool %q", pool.Database, other)
		} else {
			first[key] = pool.Name
		}

		hidingPool := configuration.Pools[last[pool.Database]]
		if last[pool.Database] != i && hidingPool.Path != pool.Path && pool.Database != "" {
			f.add(Warning, CodeHiddenPool, KindPool, pool.Name, "callers of the database %q always get the later pool %q", pool.Database, hidingPool.Name)
		}

		if keyless && !pool.AllowAnonymous {
			f.add(Warning, CodeNobodyAdmitted, KindPool, pool.Name, "callers need a key, but no customer has one")
		}
	}
}

// checkPool checks a pool by itself.
func (f *findings) checkPool(pool *topology.Pool) {
	if pool.Database == "" {
		f.add(Error, CodeNoDatabase, KindPool, pool.Name, "it has no database")
	}

	if pool.Timeout <= 0 {
		f.add(Error, CodeNoTimeout, KindPool, pool.Name, "the timeout is %s; it must be positive", pool.Timeout)
	} else if pool.TargetLatency > pool.Timeout {
		f.add(Warning, CodeTargetOverTimeout, KindPool, pool.Name, "the target latency of %s is longer than the timeout of %s", pool.TargetLatency, pool.Timeout)
	}

	if pool.MaxAge < 0 || pool.TargetLatency < 0 {
		f.add(Error, CodeNegativeLimit, KindPool, pool.Name, "the maximum age is %s and the target latency is %s; neither may be negative", pool.MaxAge, pool.TargetLatency)
	}

	if pool.Freshness != topology.FreshnessLatest && pool.MaxAge == 0 {
		f.add(Warning, CodeNoMaxAge, KindPool, pool.Name, "reads may be older (%s), but the maximum age is zero", pool.Freshness)
	}
}

func (f *findings) checkCustomers(configuration *topology.Configuration) {
	seen := make(map[string]bool)
	allZero := len(configuration.Customers.Entries) > 0

	for _, customer := range configuration.Customers.Entries {
		rate := customer.Rate
		allZero = allZero && rate != nil && *rate == 0

		if customer.Name == "" {
			f.add(Error, CodeNoName, KindCustomer, "", "a customer has no name")
		} else if seen[customer.Name] {
			f.add(Error, CodeListedTwice, KindCustomer, customer.Name, "it is listed twice")
		}

		seen[customer.Name] = true

		switch {
		case rate != nil && *rate < 0 || customer.Burst < 0:
			f.add(Error, CodeNegativeLimit, KindCustomer, customer.Name, "the limit is %s; it may not be negative", limitText(&customer))
		case rate != nil && *rate == 0:
			// Counting proxies refuse every operation of such a customer, whatever its burst is.
			f.add(Warning, CodeNoOperations, KindCustomer, customer.Name, "the limit of %s admits no operation", limitText(&customer))
		case rate == nil && customer.Burst > 0:
			f.add(Warning, CodeBurstWithoutEffect, KindCustomer, customer.Name, "the burst of %g has no effect without a rate", customer.Burst)
		}

		if len(customer.Keys) == 0 {
			f.add(Warning, CodeNoKeys, KindCustomer, customer.Name, "it has no keys, so no caller can be this customer")
		}
	}

	if allZero {
		f.add(Warning, CodeNoRates, KindConfiguration, "", "the sum of all customers' rates is zero, so no customer is served")
	}
}

// checkKeys reports keys that appear more than once, by the names of their customers only.
func (f *findings) checkKeys(customers []topology.Customer) {
	first := make(map[topology.KeyID]string)
	reported := make(map[[2]string]bool)

	for _, customer := range customers {
		for _, key := range customer.Keys {
			other, taken := first[key]
			if !taken {
				first[key] = customer.Name

				continue
			}

			if pair := [2]string{other, customer.Name}; reported[pair] {
				continue
			} else {
				reported[pair] = true
			}

			if other == customer.Name {
				f.add(Warning, CodeRepeatedKey, KindCustomer, customer.Name, "it lists a key twice")
			} else {
				f.add(Error, CodeSharedKey, KindCustomer, customer.Name, "it shares a key with the customer %q", other)
			}
		}
	}
}

func countKeys(customers []topology.Customer) int {
	count := 0
	for _, customer := range customers {
		count += len(customer.Keys)
	}

	return count
}

// limitText returns a customer's limit as messages show it.
func limitText(customer *topology.Customer) string {
	if customer.Rate == nil {
		return fmt.Sprintf("no rate, burst %g", customer.Burst)
	}

	return fmt.Sprintf("%g/s, burst %g", *customer.Rate, customer.Burst)
}

// durationText returns a duration as messages show it, or "none" for zero.
func durationText(duration time.Duration) string {
	if duration == 0 {
		return "none"
	}

	return duration.String()
}
