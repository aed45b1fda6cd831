package managedproxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
)

// Guards against reads of the latest data that a primary serves from an empty log, because it has started again under its
// ID without its data.
func TestReadsOfAPrimaryWithoutItsData(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		// term is the group's term when the read is sent.
		term   position.Term
		begin  bool
		served bool
	}{
		{"read", 1, false, false},
		{"read-only transaction", 1, true, false},
		// The positions of an earlier primary may have been discarded.
		{"after a takeover", 2, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.group.Term = 1
			f.applyView()

			session := f.connect("latest")
			require.NoError(t, session.ask(Write, "WRITE 1").Err)
			require.NoError(t, session.ask(Read, "READ 1").Err)

			primary := f.servers["p"]
			primary.mutex.Lock()
			primary.position = position.Position{Term: 1, LSN: 3}
			primary.ranStatements = nil
			primary.mutex.Unlock()

			f.group.Term = test.term
			f.applyView()

			if test.begin {
				require.NoError(t, session.ask(BeginRead, "BEGIN READ").Err)
			}

			reply := session.ask(Read, "READ 1")
			if test.served {
				require.NoError(t, reply.Err)

				return
			}

			require.Error(t, reply.Err)
			assert.Empty(t, primary.ranStatements)
		})
	}
}
