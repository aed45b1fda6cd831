package placement

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
)

const (
	// minOwnConnections is the least number of connections to a server that makes a proxy's own ones worthwhile: one for an open
	// transaction and one for other statements.
	minOwnConnections = 2
	// holdersPerCentre is the number of holders of a group in each data centre. With two, one may be lost; with more, the
	// connections are split into parts that don't help each other.
	holdersPerCentre = 2
)

// Proxy is a proxy that may hold connections.
type Proxy struct {
	Name string `cbor:"1,keyasint"`
	// Centre is its data centre.
	Centre string `cbor:"2,keyasint"`
	// Address is where it takes statements from other proxies.
	Address netip.AddrPort `cbor:"3,keyasint"`
}

type candidate struct {
	rank  uint64
	proxy Proxy
}

// NeedsSharing reports whether the connections to a server that accepts a number of them are too few for each proxy to hold
// its own.
func NeedsSharing(connections, proxies int) bool {
	return proxies*minOwnConnections > connections
}

// Holders returns the proxies that hold connections to the servers of a group, ordered by name.
func Holders(group string, proxies []Proxy) []Proxy {
	ranked := make([]candidate, len(proxies))
	for i, proxy := range proxies {
		ranked[i] = candidate{rank(group, proxy.Name), proxy}
	}

	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.proxy.Name, b.proxy.Name))
	})

	var holders []Proxy

	inCentre := make(map[string]int)

	for _, one := range ranked {
		if inCentre[one.proxy.Centre] < holdersPerCentre {
			inCentre[one.proxy.Centre]++
			holders = append(holders, one.proxy)
		}
	}

	slices.SortFunc(holders, func(a, b Proxy) int { return cmp.Compare(a.Name, b.Name) })

	return holders
}

// rank is a number that looks random but is the same on each process.
func rank(group, proxy string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(group + "\x00" + proxy)) // It never fails.

	// The last bytes change few of the high bits of FNV, so that similar names would be close to each other.
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33

	return sum
}
