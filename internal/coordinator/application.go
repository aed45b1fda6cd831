package coordinator

import (
	"fmt"
	"strconv"
	"strings"

	"almondgrade/core/permit"
)

// The kinds of connections in application names. Connections for monitoring, probes and control use the reserved
// connections of a server and hold no permit.
const (
	KindMonitor = "monitor"
	KindProbe   = "probe"
	KindDirect  = "direct"
)

const (
	applicationPrefix = "ag"
	instanceBase      = 16
	instanceDigits    = 16
	// instanceField is the index of the instance among the fields of an application name.
	instanceField = 2
)

// ApplicationName returns the application name of a proxy's connection to a backend server: ag/PROXY/INSTANCE/KIND, with
// the instance as 16 hexadecimal digits. KIND ends in one of the words above, or in anything else for a connection that
// holds a permit. The instance distinguishes the connections of a process from those left by an earlier process of the
// same name.
func ApplicationName(proxy string, instance uint64, kind string) string {
	return fmt.Sprintf("%s/%s/%016x/%s", applicationPrefix, proxy, instance, kind)
}

// holderOf parses an application name and returns the holder of the connection's permit. The instance is zero if the
// name has none. The result is false for a connection that holds no permit.
func holderOf(application string) (permit.Holder, bool) {
	fields := strings.Split(application, "/")
	if len(fields) < instanceField || fields[0] != applicationPrefix || fields[1] == "" {
		return permit.Holder{}, false
	}

	switch fields[len(fields)-1] {
	case KindMonitor, KindProbe:
		return permit.Holder{}, false
	}

	holder := permit.Holder{Proxy: fields[1]}

	if len(fields) > instanceField && len(fields[instanceField]) == instanceDigits {
		if instance, err := strconv.ParseUint(fields[instanceField], instanceBase, 64); err == nil {
			holder.Instance = instance
		}
	}

	return holder, true
}
