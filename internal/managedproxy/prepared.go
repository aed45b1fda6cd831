package managedproxy

import (
	"strconv"
	"sync"
)

// prepared is a prepared statement. Sessions that prepare the same statement share its name on the backend servers.
type prepared struct {
	name   string
	shape  string
	writes bool
}

type preparedKey struct {
	shape  string
	writes bool
}

// names assigns names to prepared statements.
type names struct {
	mutex sync.Mutex
	known map[preparedKey]*prepared
}

func newNames() *names {
	return &names{known: make(map[preparedKey]*prepared)}
}

// get returns the statement of a shape.
func (n *names) get(shape string, writes bool) *prepared {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	key := preparedKey{shape, writes}
	if found := n.known[key]; found != nil {
		return found
	}

	created := &prepared{name: "ag" + strconv.Itoa(len(n.known)), shape: shape, writes: writes}
	n.known[key] = created

	return created
}
