package managedproxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
)

// Guards against a statement without an answer that is on its way when the proxy closes the session of a withdrawn key, so
// that its caller can't know whether a write or a commit has run.
func TestWithdrawnKeyIsTheAnswerToAStatementOnItsWay(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name          string
		inTransaction bool
	}{
		{"idle", false},
		{"in a transaction", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.customers = customersWithKeys(map[string]string{"ada": "key-a", "bea": "key-b"})
			f.applyConfiguration(2)

			session := f.connectWithKey("latest", "key-a")
			require.NoError(t, session.ask(Read, "READ x").Err)

			if test.inTransaction {
				require.NoError(t, session.ask(Begin, "BEGIN").Err)
				require.NoError(t, session.ask(Write, "WRITE x").Err)
			}

			f.customers = customersWithKeys(map[string]string{"bea": "key-b"})
			f.applyConfiguration(3)
			<-session.closed

			ended := session.ended.Load()
			require.NotNil(t, ended, "the connection was closed without a reason")
			assert.Equal(t, result.Authentication, result.CodeOf(*ended))
			assert.Equal(t, test.inTransaction, IsRolledBack(*ended))
		})
	}
}
