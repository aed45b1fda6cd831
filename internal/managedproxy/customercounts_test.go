package managedproxy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/result"
	"almondgrade/internal/metrics"
)

// Guards against counters without bound when customers come and go, and against served or refused statements that
// nobody counts.
func TestCustomersAreCounted(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.gateway.countForCustomer("", nil)

	for i := range 2 * maxCountedCustomers {
		f.gateway.countForCustomer(fmt.Sprint("customer-", i), nil)
	}

	f.gateway.countForCustomer("customer-0", result.New(result.QueueFull, "full"))
	f.gateway.countForCustomer("customer-0", errors.New("server error"))

	pool := f.gateway.servers["p"].connPool
	_, err := pool.get(time.Now().Add(time.Second), 2, connUser{customer: "customer-0"})
	f.require.NoError(err)
	f.gateway.maintainPools(time.Now())

	lines := metrics.Lines(f.gateway.options.Metrics.Registry)
	for _, want := range []string{
		"customer_served.other 64", "customer_served.customer-0 1", "customer_refused_queue_full.customer-0 1",
		"customer_server_error.customer-0 1", "customer_connections.customer-0 1", "customer_waiting.customer-0 0",
	} {
		assert.Contains(t, lines, want)
	}

	assert.Equal(t, maxCountedCustomers+1, strings.Count(strings.Join(lines, "\n"), "customer_served."))
}

// Guards against customers whose names break the lines of the metrics, or are counted as others.
func TestCustomersWithOddNamesAreCountedApart(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	names := []string{"a b", "a_b", "a  b", "a%20b", "a\nb 7", "a\r\nb", "\xff", "\u2028", "other", "%6Fther"}

	for i, name := range names {
		for range i + 1 {
			f.gateway.countForCustomer(name, nil)
			f.gateway.limits.countersOf(name).admitted.Inc(1)
		}
	}

	for i := range 2 * maxCountedCustomers {
		f.gateway.countForCustomer(fmt.Sprint("customer-", i), nil)
	}

	served, admitted := make(map[string]bool), make(map[string]bool)

	for _, line := range metrics.Lines(f.gateway.options.Metrics.Registry) {
		fields := strings.Fields(line)
		assert.Len(t, fields, 2, "%q", line)

		if strings.HasPrefix(line, "customer_served.") && !strings.Contains(line, ".customer-") && fields[1] != "74" {
			served[fields[1]] = true
		}

		if strings.HasPrefix(line, "limit_admitted.") {
			admitted[fields[1]] = true
		}
	}

	// Each name has a count of its own.
	assert.Len(t, served, len(names))
	assert.Len(t, admitted, len(names))
}
