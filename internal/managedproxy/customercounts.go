package managedproxy

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"almondgrade/core/connections"
	"almondgrade/core/result"
	"almondgrade/core/topology"
)

const (
	// maxCountedCustomers bounds the customers that have counters of their own; all others share those of otherCustomers.
	// Configurations change, and counters are never removed.
	maxCountedCustomers = 64
	otherCustomers      = "other"
	// escapedOther is the name under which a customer is counted whose own name is otherCustomers.
	escapedOther = "%6Fther"
)

// customerCounts names the counters of customers. It is safe for concurrent use.
type customerCounts struct {
	mutex sync.Mutex
	// known are the names by customer.
	known map[string]string
}

// label returns the name under which a customer is counted: its own for the first maxCountedCustomers. It is one word, because
// white space separates names from values.
func (c *customerCounts) label(customer string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if label, found := c.known[customer]; found {
		return label
	}

	if len(c.known) >= maxCountedCustomers {
		return otherCustomers
	}

	if c.known == nil {
		c.known = make(map[string]string, maxCountedCustomers)
	}

	label := topology.EscapeName(customer)
	if label == otherCustomers {
		label = escapedOther
	}

	c.known[customer] = label

	return label
}

// labels returns the names under which customers are counted.
func (c *customerCounts) labels() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	names := make([]string, 0, len(c.known)+1)
	for _, label := range c.known {
		names = append(names, label)
	}

	return append(names, otherCustomers)
}

// countForCustomer counts the reply to a statement of one of this proxy's callers by its customer.
func (g *Gateway) countForCustomer(customer string, err error) {
	if customer == "" {
		return
	}

	name := "customer_served."

	if err != nil {
		name = "customer_" + serverError + "."

		if code := result.CodeOf(err); code != result.OK {
			name = "customer_refused_" + code.Describe().Name + "."
		}
	}

	g.count(name + g.customerCounts.label(customer))
}

// reportConnections counts what became of the statements' need of connections, and the waiting statements and
// connections of each customer. The mutex is held.
func (g *Gateway) reportConnections() {
	sums := make(map[string]connections.Usage)

	var total poolCounts

	for _, server := range g.servers {
		counts := server.connPool.takeCounts(sums)
		total.opened += counts.opened
		total.replaced += counts.replaced
		total.reused += counts.reused
	}

	counter := g.options.Metrics.Counter
	counter("connections_opened").Inc(total.opened)
	counter("connections_replaced").Inc(total.replaced)
	counter("connections_reused").Inc(total.reused)

	byLabel := make(map[string]connections.Usage, len(sums))

	for customer, usage := range sums {
		label := g.customerCounts.label(customer)
		sum := byLabel[label]
		sum.Waiting += usage.Waiting
		sum.Connections += usage.Connections
		byLabel[label] = sum
	}

	if g.view.Load().customers == nil && len(byLabel) == 0 {
		return
	}

	// Customers without any are reported as well, because their former values would stay.
	for _, label := range g.customerCounts.labels() {
		g.gauge("customer_waiting." + label).Update(int64(byLabel[label].Waiting))
		g.gauge("customer_connections." + label).Update(int64(byLabel[label].Connections))
	}
}

func (g *Gateway) gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, g.options.Metrics.Registry)
}
