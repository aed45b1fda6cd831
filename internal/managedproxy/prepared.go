package managedproxy

import (
	"strconv"
	"sync"
)

// preparedStatement is a prepared statement. Sessions that prepare the same statement share its name on the backend
// servers.
type preparedStatement struct {
	name   string
	shape  string
	writes bool
}

type preparedKey struct {
	shape  string
	writes bool
}

// statementNames assigns backend names to prepared statements.
type statementNames struct {
	mutex sync.Mutex
	byKey map[preparedKey]*preparedStatement
}

func newStatementNames() *statementNames {
	return &statementNames{byKey: make(map[preparedKey]*preparedStatement)}
}

// get returns the prepared statement of a shape, with a new name if it is unknown.
func (n *statementNames) get(shape string, writes bool) *preparedStatement {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	key := preparedKey{shape, writes}
	if found := n.byKey[key]; found != nil {
		return found
	}

	created := &preparedStatement{name: "ag" + strconv.Itoa(len(n.byKey)), shape: shape, writes: writes}
	n.byKey[key] = created

	return created
}
