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

// The bounds that settings must keep.
const (
	// maxLease bounds the time during which a proxy may take new work under an older configuration.
	maxLease = 3 * time.Second
	// minLease leaves room for one renewal, which control sends each second.
	minLease = 1500 * time.Millisecond
	// failoverBound is the time in which a change of primary is complete. After the detection it still needs 7 s:
	// 1 s for agreement, 2 s for fencing, 3 s for the promotion and 1 s for routing.
	failoverBound  = 12 * time.Second
	detectionBound = failoverBound - 7*time.Second
	// minAnnounce is two announcements, which backend servers send each second.
	minAnnounce = 2 * time.Second
	// maxSlotCache bounds the time for which an idle proxy keeps others from a slot.
	maxSlotCache = time.Second
	// maxDuration bounds the durations that have no other bound.
	maxDuration = 24 * time.Hour

	maxFailures      = 20
	minMessageLimit  = 1 << 10
	maxMessageLimit  = 1 << 30
	maxQueue         = 1_000_000
	maxCallers       = 1_000_000
	maxReloadSeconds = 86_400
	maxControl       = 7
	maxDatabaseBytes = 63
)

// namePattern matches names of VMs and groups. They are part of application_name, which holds 63 bytes together
// with a prefix and a term, and of session tokens, which separate by colon and comma.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$`)

// NameAllowed says which names ValidName accepts.
const NameAllowed = "want 1 to 32 letters, digits, dots, dashes or underscores, beginning with a letter or digit"

// ValidName reports whether a text can name a VM, a data centre, a group or a backend server.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

// words reports a value that is none of the allowed words.
func (c *checker) words(at *path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(at, strconv.Quote(value), "want one of %s", strings.Join(allowed, ", "))
	}
}

func (c *checker) name(at *path, value string) {
	switch {
	case value == "":
		c.fault(at, "", "missing; %s", NameAllowed)
	case !ValidName(value):
		c.fault(at, strconv.Quote(value), NameAllowed)
	}
}

func (c *checker) within(at *path, value, low, high int) {
	if value < low || value > high {
		c.fault(at, strconv.Itoa(value), "want %d to %d", low, high)
	}
}

func (c *checker) span(at *path, value Duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		c.fault(at, strconv.Quote(time.Duration(value).String()), "want %v to %v", low, high)
	}
}

// settings checks what the shape of a document doesn't show.
func (c *checker) settings(s *Settings) {
	root := (*path)(nil)

	if s.Format != Format {
		c.fault(root.at("format"), strconv.Itoa(s.Format), "want %d", Format)
	}

	c.name(root.at("site"), s.Site)
	c.name(root.at("vm", "name"), s.VM.Name)
	c.name(root.at("vm", "centre"), s.VM.Centre)
	c.within(root.at("vm", "caller_limit"), s.VM.CallerLimit, 1, maxCallers)
	c.words(root.at("log", "format"), s.Log.Format, "text", "json")
	c.words(root.at("log", "level"), s.Log.Level, "debug", "info", "warn", "error")

	if s.VM.Open != "" && s.VM.Open != OpenWords {
		c.fault(root.at("vm", "open"), strconv.Quote(s.VM.Open), "want nothing or %q", OpenWords)
	}

	c.tls(s, root.at("tls"))
	c.control(s, root.at("control"))
	c.role(s)
	c.overlaps(s)
	c.authentication(s)
	c.running(&s.Running, root.at("running"))
}

func (c *checker) tls(s *Settings, at *path) {
	c.within(at.key("reload_seconds"), s.TLS.ReloadSeconds, 1, maxReloadSeconds)

	if s.TLS.Certificate != "" && s.TLS.Key == "" {
		c.fault(at.key("key"), "", "missing; tls.certificate needs its key")
	}

	if s.TLS.Key != "" && s.TLS.Certificate == "" {
		c.fault(at.key("certificate"), "", "missing; tls.key needs its certificate")
	}

	if s.TLS.Callers && s.TLS.Certificate == "" {
		c.fault(at.key("callers"), "true", "TLS for callers needs tls.certificate and tls.key")
	}

	if s.TLS.Backend && s.TLS.Authority == "" {
		c.fault(at.key("backend"), "true", "TLS for backend servers needs tls.authority")
	}
}

// Mutual reports whether the settings hold everything that mutual TLS needs.
func (t TLS) Mutual() bool {
	return t.Authority != "" && t.Certificate != "" && t.Key != ""
}

func (c *checker) control(s *Settings, at *path) {
	if len(s.Control)%2 == 0 || len(s.Control) > maxControl {
		c.fault(at, strconv.Itoa(len(s.Control))+" members", "want an odd number of members, 1 to %d", maxControl)
	}

	seen := map[string]int{}

	for i, member := range s.Control {
		inner := at.index(i)
		c.name(inner.key("name"), member.Name)
		c.reachable(inner.key("address"), member.Address)
		c.reachable(inner.key("operator"), member.Operator)

		if first, found := seen[member.Name]; found {
			c.fault(inner.key("name"), strconv.Quote(member.Name), "the name is also that of control[%d]", first)
		}

		seen[member.Name] = i
	}
}

// reachable checks an address that others connect to.
func (c *checker) reachable(at *path, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		c.fault(at, "", "missing; want an IP address with a port")
	case address.Addr().IsUnspecified() || address.Port() == 0:
		c.fault(at, strconv.Quote(address.String()), "want an address and port that others can connect to")
	}
}

// role checks that the VM has what its processes need. A VM with an address for callers runs a proxy, one with an
// address for control runs control.
func (c *checker) role(s *Settings) {
	at := (*path)(nil).at("vm")

	if !s.VM.Caller.IsValid() && !s.VM.Control.IsValid() {
		c.fault(at.key("caller"), "", "want vm.caller for a proxy, vm.control for a control process, or both")
	}

	if s.VM.Caller.IsValid() {
		c.reachable(at.key("peer"), s.VM.Peer)
	}

	if !s.VM.Control.IsValid() {
		return
	}

	if s.VM.Data == "" {
		c.fault(at.key("data"), "", "missing; a control process needs its data folder")
	}

	own := slices.IndexFunc(s.Control, func(member ControlMember) bool { return member.Name == s.VM.Name })

	switch {
	case own < 0:
		c.fault((*path)(nil).at("control"), "", "no member is named %q, but vm.control is set", s.VM.Name)
	case !serves(s.VM.Control, s.Control[own].Address):
		c.fault(at.key("control"), strconv.Quote(s.VM.Control.String()), "want %s, the address of control[%d]",
			s.Control[own].Address, own)
	case s.VM.Operator.IsValid() && !serves(s.VM.Operator, s.Control[own].Operator):
		c.fault(at.key("operator"), strconv.Quote(s.VM.Operator.String()),
			"want %s, the operator address of control[%d]", s.Control[own].Operator, own)
	}
}

// serves reports whether a listener on one address answers connections to another.
func serves(listener, address netip.AddrPort) bool {
	return listener.Port() == address.Port() &&
		(listener.Addr().IsUnspecified() || listener.Addr() == address.Addr())
}

// listener is an address with the path that names it.
type listener struct {
	at      *path
	address netip.AddrPort
}

// listeners returns the addresses that the VM listens on.
func listeners(s *Settings) []listener {
	at := (*path)(nil).at("vm")
	all := []listener{
		{at.key("caller"), s.VM.Caller}, {at.key("peer"), s.VM.Peer}, {at.key("platform"), s.VM.Platform},
		{at.key("operator"), s.VM.Operator}, {at.key("control"), s.VM.Control},
	}

	return slices.DeleteFunc(all, func(one listener) bool { return !one.address.IsValid() })
}

// overlaps reports listeners of the VM and control members that share an address.
func (c *checker) overlaps(s *Settings) {
	taken := listeners(s)

	for _, one := range taken {
		if one.address.Port() == 0 {
			c.fault(one.at, strconv.Quote(one.address.String()), "want a port from 1 to 65535")
		}
	}

	for i, member := range s.Control {
		at := (*path)(nil).at("control").index(i)

		if member.Name != s.VM.Name {
			taken = append(taken, listener{at.key("address"), member.Address}, listener{at.key("operator"), member.Operator})
		}
	}

	for i, one := range taken {
		for _, other := range taken[:i] {
			if overlap(one.address, other.address) {
				c.fault(one.at, strconv.Quote(one.address.String()), "overlaps %s at %s", other.address, other.at)
			}
		}
	}
}

func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}

	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// authentication reports listeners off loopback that neither mutual TLS nor a token protects. Callers are left
// out: they log in as users.
func (c *checker) authentication(s *Settings) {
	if s.TLS.Mutual() || s.VM.Open == OpenWords {
		return
	}

	at := (*path)(nil).at("vm")

	for _, one := range []struct {
		listener

		token string
		want  string
	}{
		{listener{at.key("peer"), s.VM.Peer}, "", "mutual TLS"},
		{listener{at.key("control"), s.VM.Control}, "", "mutual TLS"},
		{listener{at.key("operator"), s.VM.Operator}, s.Tokens.Operator, "mutual TLS or tokens.operator"},
		{listener{at.key("platform"), s.VM.Platform}, s.Tokens.Platform, "mutual TLS or tokens.platform"},
	} {
		if one.address.IsValid() && !one.address.Addr().IsLoopback() && one.token == "" {
			c.fault(one.at, strconv.Quote(one.address.String()),
				"off loopback this listener needs %s, or vm.open %q", one.want, OpenWords)
		}
	}
}

// running checks a configuration, whether it comes from files or from a change.
func (c *checker) running(r *Running, at *path) {
	c.words(at.key("when_unconfirmed"), r.WhenUnconfirmed, "refuse", "serve")

	if r.Backend.User == "" {
		c.fault(at.at("backend", "user"), `""`, "want the user that logs in to backend servers")
	}

	for _, name := range sortedKeys(r.Users) {
		inner := at.at("users", name)

		if name == "" || len(name) > maxDatabaseBytes {
			c.fault(inner, strconv.Quote(name), "want a user name of 1 to %d bytes", maxDatabaseBytes)
		}

		if verifier := r.Users[name].Verifier; verifier != "" && !validVerifier(verifier) {
			c.fault(inner.key("verifier"), hidden,
				"want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY, or nothing for trust")
		}
	}

	for _, name := range sortedKeys(r.Pools) {
		c.pool(at.at("pools", name), name, r.Pools[name], r)
	}

	c.databases(r, at.key("pools"))
	c.timing(&r.Timing, at.key("timing"))
}

var verifierPattern = regexp.MustCompile(`^SCRAM-SHA-256\$([0-9]{1,9}):([A-Za-z0-9+/=]+)\$([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)$`)

// keyBytes is the size of the keys in a SCRAM-SHA-256 verifier.
const keyBytes = 32

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
		storedErr == nil && len(stored) == keyBytes && serverErr == nil && len(server) == keyBytes
}

func (c *checker) pool(at *path, name string, pool Pool, r *Running) {
	if name == "" || len(name) > maxDatabaseBytes {
		c.fault(at, strconv.Quote(name), "want a pool name of 1 to %d bytes", maxDatabaseBytes)
	}

	if len(pool.Groups) == 0 {
		c.fault(at.key("groups"), "", "a pool needs at least one group")
	}

	if len(pool.Database) > maxDatabaseBytes {
		c.fault(at.key("database"), strconv.Quote(pool.Database), "want at most %d bytes", maxDatabaseBytes)
	}

	for i, group := range pool.Groups {
		c.name(at.key("groups").index(i), group)
	}

	seen := map[string]int{}

	for i, rule := range pool.Traffic {
		inner := at.key("traffic").index(i)

		if first, found := seen[rule.Name]; found && rule.Name != "" {
			c.fault(inner.key("name"), strconv.Quote(rule.Name), "the name is also that of rule %d of the pool", first)
		}

		seen[rule.Name] = i

		c.traffic(inner, rule, r)
	}
}

func (c *checker) traffic(at *path, rule Traffic, r *Running) {
	c.name(at.key("name"), rule.Name)
	c.words(at.key("session"), rule.Session, "shared", "connection")
	c.words(at.key("pooling"), rule.Pooling, "transaction", "session")
	c.words(at.key("durability"), rule.Durability, "replica", "primary")
	c.within(at.key("queue"), rule.Queue, 1, maxQueue)
	c.span(at.key("deadline"), rule.Deadline, 0, maxDuration)

	if rule.MaxAge != 0 {
		c.span(at.key("max_age"), rule.MaxAge, time.Duration(r.Timing.Monitor), maxDuration)
	}

	c.patterns(at.key("users"), rule.Users)
	c.patterns(at.key("applications"), rule.Applications)
}

func (c *checker) patterns(at *path, patterns []string) {
	for i, pattern := range patterns {
		if _, err := pathpkg.Match(pattern, ""); err != nil || pattern == "" {
			c.fault(at.index(i), strconv.Quote(pattern), "want a shell pattern such as web-*")
		}
	}
}

// databases reports names that callers could use for two groups: twice the same group in a pool, or a pool whose
// name has a dot and equals POOL.GROUP of another.
func (c *checker) databases(r *Running, at *path) {
	taken := map[string]string{}

	claim := func(database string, by *path) {
		if first, found := taken[database]; found {
			c.fault(by, strconv.Quote(database), "callers already reach %s by this name", first)

			return
		}

		taken[database] = by.text
	}

	for _, name := range sortedKeys(r.Pools) {
		claim(name, at.key(name))
	}

	for _, name := range sortedKeys(r.Pools) {
		for i, group := range r.Pools[name].Groups {
			claim(name+"."+group, at.at(name, "groups").index(i))
		}
	}
}

func (c *checker) timing(t *Timing, at *path) {
	positive := time.Millisecond

	c.span(at.key("deadline"), t.Deadline, positive, maxDuration)
	c.span(at.key("confirm_timeout"), t.ConfirmTimeout, positive, maxDuration)
	c.span(at.key("replica_wait"), t.ReplicaWait, 0, time.Duration(t.Deadline))
	c.span(at.key("drain_timeout"), t.DrainTimeout, positive, maxDuration)
	c.span(at.key("monitor"), t.Monitor, positive, detectionBound)
	c.span(at.key("monitor_timeout"), t.MonitorTimeout, positive, detectionBound)
	c.within(at.key("failures"), t.Failures, 1, maxFailures)
	c.span(at.key("lease"), t.Lease, minLease, maxLease)
	c.span(at.key("announce"), t.Announce, minAnnounce, maxDuration)
	c.span(at.key("slot_cache"), t.SlotCache, 0, maxSlotCache)
	c.within(at.key("message_limit"), t.MessageLimit, minMessageLimit, maxMessageLimit)

	detection := time.Duration(t.Monitor) + time.Duration(t.Failures)*time.Duration(t.MonitorTimeout)
	inRange := time.Duration(t.MonitorTimeout) <= detectionBound && t.Failures <= maxFailures

	if inRange && detection > detectionBound {
		c.fault(at.key("failures"), strconv.Itoa(t.Failures),
			"monitor + failures * monitor_timeout is %v, but a failover within %v leaves %v for the detection",
			detection, failoverBound, detectionBound)
	}
}
