package settings

import (
	"encoding/base64"
	"net/netip"
	pathpkg "path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The bounds of settings.
const (
	// maxLease bounds the time during which a proxy may take new work under an older configuration.
	maxLease = 3 * time.Second
	// minLease leaves time for one renewal, which control sends each second.
	minLease = 1500 * time.Millisecond
	// maxFailoverTime is the time within which a failover completes. After the detection it needs another 7 s: 1 s for
	// agreement, 2 s for fencing, 3 s for the promotion and 1 s for routing.
	maxFailoverTime  = 12 * time.Second
	maxDetectionTime = maxFailoverTime - 7*time.Second
	// minAnnounceTimeout is two announcement intervals; backend servers announce themselves each second.
	minAnnounceTimeout = 2 * time.Second
	// maxSlotCacheTime bounds the time for which an idle proxy withholds a slot from other proxies.
	maxSlotCacheTime = time.Second
	// maxDuration bounds durations without a bound of their own.
	maxDuration = 24 * time.Hour

	maxFailureThreshold  = 20
	minMessageLimitBytes = 1 << 10
	maxMessageLimitBytes = 1 << 30
	maxQueueLimit        = 1_000_000
	maxCallerLimit       = 1_000_000
	maxReloadSeconds     = 86_400
	maxControlMembers    = 7
	maxIdentifierBytes   = 63
)

// namePattern matches the names of VMs, data centres, groups and backend servers. Names are part of application_name,
// which holds at most 63 bytes including a prefix and a term, and of session tokens, which use colon and comma as
// separators.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$`)

// NameRule describes the names that ValidName accepts.
const NameRule = "want 1 to 32 letters, digits, dots, dashes or underscores, beginning with a letter or digit"

// ValidName reports whether a text is a valid name for a VM, a data centre, a group or a backend server.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

// checkOneOf reports a value that is not among the allowed ones.
func (c *checker) checkOneOf(at *path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addFault(at, strconv.Quote(value), "want one of %s", strings.Join(allowed, ", "))
	}
}

func (c *checker) checkName(at *path, value string) {
	switch {
	case value == "":
		c.addFault(at, "", "missing; %s", NameRule)
	case !ValidName(value):
		c.addFault(at, strconv.Quote(value), NameRule)
	}
}

func (c *checker) checkInt(at *path, value, low, high int) {
	if value < low || value > high {
		c.addFault(at, strconv.Itoa(value), "want %d to %d", low, high)
	}
}

func (c *checker) checkDuration(at *path, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		c.addFault(at, strconv.Quote(time.Duration(value).String()), "want %v to %v", low, high)
	}
}

// checkSettings checks the values of settings whose keys and types matchType has accepted.
func (c *checker) checkSettings(s *Settings) {
	root := (*path)(nil)

	if s.Format != Format {
		c.addFault(root.keys("format"), strconv.Itoa(s.Format), "want %d", Format)
	}

	c.checkName(root.keys("site"), s.Site)
	c.checkName(root.keys("vm", "name"), s.VM.Name)
	c.checkName(root.keys("vm", "centre"), s.VM.Centre)
	c.checkInt(root.keys("vm", "caller_limit"), s.VM.CallerLimit, 1, maxCallerLimit)
	c.checkOneOf(root.keys("log", "format"), s.Log.Format, "text", "json")
	c.checkOneOf(root.keys("log", "level"), s.Log.Level, "debug", "info", "warn", "error")

	if s.VM.Open != "" && s.VM.Open != OpenUnauthenticated {
		c.addFault(root.keys("vm", "open"), strconv.Quote(s.VM.Open), "want nothing or %q", OpenUnauthenticated)
	}

	c.checkTLS(s, root.keys("tls"))
	c.checkControl(s, root.keys("control"))
	c.checkRole(s)
	c.checkOverlaps(s)
	c.checkAuthentication(s)
	c.checkRunning(&s.Running, root.keys("running"))
}

func (c *checker) checkTLS(s *Settings, at *path) {
	c.checkInt(at.key("reload_seconds"), s.TLS.ReloadSeconds, 1, maxReloadSeconds)

	if s.TLS.Certificate != "" && s.TLS.Key == "" {
		c.addFault(at.key("key"), "", "missing; tls.certificate needs its key")
	}

	if s.TLS.Key != "" && s.TLS.Certificate == "" {
		c.addFault(at.key("certificate"), "", "missing; tls.key needs its certificate")
	}

	if s.TLS.Callers && s.TLS.Certificate == "" {
		c.addFault(at.key("callers"), "true", "TLS for callers needs tls.certificate and tls.key")
	}

	if s.TLS.Backend && s.TLS.Authority == "" {
		c.addFault(at.key("backend"), "true", "TLS for backend servers needs tls.authority")
	}
}

// Mutual reports whether the authority, the certificate and the key are set, which mutual TLS needs.
func (t TLS) Mutual() bool {
	return t.Authority != "" && t.Certificate != "" && t.Key != ""
}

func (c *checker) checkControl(s *Settings, at *path) {
	if len(s.Control)%2 == 0 || len(s.Control) > maxControlMembers {
		c.addFault(at, strconv.Itoa(len(s.Control))+" members", "want an odd number of members, 1 to %d", maxControlMembers)
	}

	seen := map[string]int{}

	for i, member := range s.Control {
		inner := at.index(i)
		c.checkName(inner.key("name"), member.Name)
		c.checkReachable(inner.key("address"), member.Address)
		c.checkReachable(inner.key("operator"), member.Operator)

		if first, found := seen[member.Name]; found {
			c.addFault(inner.key("name"), strconv.Quote(member.Name), "the name is also that of control[%d]", first)
		}

		seen[member.Name] = i
	}
}

// checkReachable checks an address to which other processes connect.
func (c *checker) checkReachable(at *path, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		c.addFault(at, "", "missing; want an IP address with a port")
	case address.Addr().IsUnspecified() || address.Port() == 0:
		c.addFault(at, strconv.Quote(address.String()), "want an address and port that others can connect to")
	}
}

// checkRole checks that the settings hold what the VM's processes need. A VM with vm.caller runs a proxy, a VM with
// vm.control runs a control process.
func (c *checker) checkRole(s *Settings) {
	at := (*path)(nil).keys("vm")

	if !s.VM.Caller.IsValid() && !s.VM.Control.IsValid() {
		c.addFault(at.key("caller"), "", "want vm.caller for a proxy, vm.control for a control process, or both")
	}

	if s.VM.Caller.IsValid() {
		c.checkReachable(at.key("peer"), s.VM.Peer)
	}

	if !s.VM.Control.IsValid() {
		return
	}

	if s.VM.Data == "" {
		c.addFault(at.key("data"), "", "missing; a control process needs its data folder")
	}

	own := slices.IndexFunc(s.Control, func(member ControlMember) bool { return member.Name == s.VM.Name })

	switch {
	case own < 0:
		c.addFault((*path)(nil).keys("control"), "", "no member is named %q, but vm.control is set", s.VM.Name)
	case !listenerAccepts(s.VM.Control, s.Control[own].Address):
		c.addFault(at.key("control"), strconv.Quote(s.VM.Control.String()), "want %s, the address of control[%d]",
			s.Control[own].Address, own)
	case s.VM.Operator.IsValid() && !listenerAccepts(s.VM.Operator, s.Control[own].Operator):
		c.addFault(at.key("operator"), strconv.Quote(s.VM.Operator.String()),
			"want %s, the operator address of control[%d]", s.Control[own].Operator, own)
	}
}

// listenerAccepts reports whether a listener on one address accepts connections to the other address.
func listenerAccepts(listener, address netip.AddrPort) bool {
	return listener.Port() == address.Port() &&
		(listener.Addr().IsUnspecified() || listener.Addr() == address.Addr())
}

// listener is an address with the path of its setting.
type listener struct {
	at      *path
	address netip.AddrPort
}

// listeners returns the addresses on which the VM listens.
func listeners(s *Settings) []listener {
	at := (*path)(nil).keys("vm")
	all := []listener{
		{at.key("caller"), s.VM.Caller}, {at.key("peer"), s.VM.Peer}, {at.key("platform"), s.VM.Platform},
		{at.key("operator"), s.VM.Operator}, {at.key("control"), s.VM.Control},
	}

	return slices.DeleteFunc(all, func(one listener) bool { return !one.address.IsValid() })
}

// checkOverlaps reports listeners of the VM and control members that share an address.
func (c *checker) checkOverlaps(s *Settings) {
	taken := listeners(s)

	for _, current := range taken {
		if current.address.Port() == 0 {
			c.addFault(current.at, strconv.Quote(current.address.String()), "want a port from 1 to 65535")
		}
	}

	for i, member := range s.Control {
		at := (*path)(nil).keys("control").index(i)

		if member.Name != s.VM.Name {
			taken = append(taken, listener{at.key("address"), member.Address}, listener{at.key("operator"), member.Operator})
		}
	}

	for i, current := range taken {
		for _, other := range taken[:i] {
			if addressesOverlap(current.address, other.address) {
				c.addFault(current.at, strconv.Quote(current.address.String()), "overlaps %s at %s", other.address, other.at)
			}
		}
	}
}

func addressesOverlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}

	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkAuthentication reports listeners off loopback that neither mutual TLS nor a token protects. The listener for
// callers is exempt, because callers log in as users.
func (c *checker) checkAuthentication(s *Settings) {
	if s.TLS.Mutual() || s.VM.Open == OpenUnauthenticated {
		return
	}

	at := (*path)(nil).keys("vm")

	for _, required := range []struct {
		listener

		token string
		want  string
	}{
		{listener{at.key("peer"), s.VM.Peer}, "", "mutual TLS"},
		{listener{at.key("control"), s.VM.Control}, "", "mutual TLS"},
		{listener{at.key("operator"), s.VM.Operator}, s.Tokens.Operator, "mutual TLS or tokens.operator"},
		{listener{at.key("platform"), s.VM.Platform}, s.Tokens.Platform, "mutual TLS or tokens.platform"},
	} {
		if required.address.IsValid() && !required.address.Addr().IsLoopback() && required.token == "" {
			c.addFault(required.at, strconv.Quote(required.address.String()),
				"off loopback this listener needs %s, or vm.open %q", required.want, OpenUnauthenticated)
		}
	}
}

// checkRunning checks a running configuration from files or from a change.
func (c *checker) checkRunning(r *Running, at *path) {
	c.checkOneOf(at.key("when_unconfirmed"), r.WhenUnconfirmed, "refuse", "serve")

	if r.Backend.User == "" {
		c.addFault(at.keys("backend", "user"), `""`, "want the user that logs in to backend servers")
	}

	for _, name := range sortedKeys(r.Users) {
		inner := at.keys("users", name)

		if name == "" || len(name) > maxIdentifierBytes {
			c.addFault(inner, strconv.Quote(name), "want a user name of 1 to %d bytes", maxIdentifierBytes)
		}

		if verifier := r.Users[name].Verifier; verifier != "" && !validVerifier(verifier) {
			c.addFault(inner.key("verifier"), hiddenText,
				"want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY, or nothing for trust")
		}
	}

	for _, name := range sortedKeys(r.Pools) {
		c.checkPool(at.keys("pools", name), name, r.Pools[name], r)
	}

	c.checkDatabaseNames(r, at.key("pools"))
	c.checkTiming(&r.Timing, at.key("timing"))
}

var verifierPattern = regexp.MustCompile(`^SCRAM-SHA-256\$([0-9]{1,9}):([A-Za-z0-9+/=]+)\$([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)$`)

// scramKeyBytes is the size of each key in a SCRAM-SHA-256 verifier.
const scramKeyBytes = 32

func validVerifier(text string) bool {
	parts := verifierPattern.FindStringSubmatch(text)
	if parts == nil {
		return false
	}

	iterations, err := strconv.Atoi(parts[1])
	salt, saltErr := base64.StdEncoding.DecodeString(parts[2])
	stored, storedErr := base64.StdEncoding.DecodeString(parts[3])
	server, serverErr := base64.StdEncoding.DecodeString(parts[4])

	return err == nil && iterations > 0 && saltErr == nil && len(salt) > 0 &&
		storedErr == nil && len(stored) == scramKeyBytes && serverErr == nil && len(server) == scramKeyBytes
}

func (c *checker) checkPool(at *path, name string, pool Pool, r *Running) {
	if name == "" || len(name) > maxIdentifierBytes {
		c.addFault(at, strconv.Quote(name), "want a pool name of 1 to %d bytes", maxIdentifierBytes)
	}

	if len(pool.Groups) == 0 {
		c.addFault(at.key("groups"), "", "a pool needs at least one group")
	}

	if len(pool.Database) > maxIdentifierBytes {
		c.addFault(at.key("database"), strconv.Quote(pool.Database), "want at most %d bytes", maxIdentifierBytes)
	}

	for i, group := range pool.Groups {
		c.checkName(at.key("groups").index(i), group)
	}

	seen := map[string]int{}

	for i, rule := range pool.Traffic {
		inner := at.key("traffic").index(i)

		if first, found := seen[rule.Name]; found && rule.Name != "" {
			c.addFault(inner.key("name"), strconv.Quote(rule.Name), "the name is also that of rule %d of the pool", first)
		}

		seen[rule.Name] = i

		c.checkTrafficRule(inner, rule, r)
	}
}

func (c *checker) checkTrafficRule(at *path, rule TrafficRule, r *Running) {
	c.checkName(at.key("name"), rule.Name)
	c.checkOneOf(at.key("session"), rule.Session, "shared", "connection")
	c.checkOneOf(at.key("pooling"), rule.Pooling, "transaction", "session")
	c.checkOneOf(at.key("durability"), rule.Durability, "replica", "primary")
	c.checkInt(at.key("queue"), rule.QueueLimit, 1, maxQueueLimit)
	c.checkDuration(at.key("deadline"), rule.Deadline, 0, maxDuration)

	if rule.MaxAge != 0 {
		c.checkDuration(at.key("max_age"), rule.MaxAge, time.Duration(r.Timing.MonitorInterval), maxDuration)
	}

	c.checkPatterns(at.key("users"), rule.Users)
	c.checkPatterns(at.key("applications"), rule.Applications)
}

func (c *checker) checkPatterns(at *path, patterns []string) {
	for i, pattern := range patterns {
		if _, err := pathpkg.Match(pattern, ""); err != nil || pattern == "" {
			c.addFault(at.index(i), strconv.Quote(pattern), "want a shell pattern such as web-*")
		}
	}
}

// checkDatabaseNames reports database names that are ambiguous for callers: a group that is listed twice in a pool, or a
// pool whose name contains a dot and equals POOL.GROUP of another pool.
func (c *checker) checkDatabaseNames(r *Running, at *path) {
	taken := map[string]string{}

	claim := func(database string, by *path) {
		if first, found := taken[database]; found {
			c.addFault(by, strconv.Quote(database), "callers already reach %s by this name", first)

			return
		}

		taken[database] = by.text
	}

	for _, name := range sortedKeys(r.Pools) {
		claim(name, at.key(name))
	}

	for _, name := range sortedKeys(r.Pools) {
		for i, group := range r.Pools[name].Groups {
			claim(name+"."+group, at.keys(name, "groups").index(i))
		}
	}
}

func (c *checker) checkTiming(t *Timing, at *path) {
	positive := time.Millisecond

	c.checkDuration(at.key("deadline"), t.Deadline, positive, maxDuration)
	c.checkDuration(at.key("confirm_timeout"), t.ConfirmTimeout, positive, maxDuration)
	c.checkDuration(at.key("replica_wait"), t.ReplicaWait, 0, time.Duration(t.Deadline))
	c.checkDuration(at.key("drain_timeout"), t.DrainTimeout, positive, maxDuration)
	c.checkDuration(at.key("monitor"), t.MonitorInterval, positive, maxDetectionTime)
	c.checkDuration(at.key("monitor_timeout"), t.MonitorTimeout, positive, maxDetectionTime)
	c.checkInt(at.key("failures"), t.FailureThreshold, 1, maxFailureThreshold)
	c.checkDuration(at.key("lease"), t.Lease, minLease, maxLease)
	c.checkDuration(at.key("announce"), t.AnnounceTimeout, minAnnounceTimeout, maxDuration)
	c.checkDuration(at.key("slot_cache"), t.SlotCacheTime, 0, maxSlotCacheTime)
	c.checkInt(at.key("message_limit"), t.MessageLimitBytes, minMessageLimitBytes, maxMessageLimitBytes)

	detection := time.Duration(t.MonitorInterval) + time.Duration(t.FailureThreshold)*time.Duration(t.MonitorTimeout)
	inRange := time.Duration(t.MonitorTimeout) <= maxDetectionTime && t.FailureThreshold <= maxFailureThreshold

	if inRange && detection > maxDetectionTime {
		c.addFault(at.key("failures"), strconv.Itoa(t.FailureThreshold),
			"monitor + failures * monitor_timeout is %v, but a failover within %v leaves %v for the detection",
			detection, maxFailoverTime, maxDetectionTime)
	}
}
