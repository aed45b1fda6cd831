package managedproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/result"
	"almondgrade/core/topology"
)

func customersWithKeys(keys map[string]string) *topology.CustomerList {
	list := &topology.CustomerList{}
	for name, key := range keys {
		list.Entries = append(list.Entries, topology.Customer{Name: name, Keys: []topology.KeyID{topology.NewKeyID(key)}})
	}

	return list
}

// Guards against a caller that is served without a known key, and against a statement that runs on the connection of
// another customer.
func TestCallersAreKnownByTheirKey(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.customers = customersWithKeys(map[string]string{"ada": "key-a", "bea": "key-b"})
	f.applyConfiguration(2)

	stranger := f.connectWithKey("latest", "key-c")
	<-stranger.closed
	assert.Equal(t, result.Authentication, result.CodeOf(stranger.rejected))
	assert.Zero(t, RetryAfter(stranger.rejected), "the key does not become known by waiting")

	for _, key := range []string{"key-a", "key-b", "key-a"} {
		caller := f.connectWithKey("latest", key)
		caller.statements <- Statement{ID: "1", Kind: Read, Text: "READ x"}

		f.require.NoError((<-caller.replies).Err)
		close(caller.statements)
		<-caller.closed
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	opened := map[string]int{}
	for _, name := range f.dialedFor {
		opened[name]++
	}

	delete(opened, "") // Opened in advance, before there were customers.
	assert.Equal(t, map[string]int{"ada": 1, "bea": 1}, opened)
}

// Guards against sessions that go on with a withdrawn key: an idle one, one whose next statement is already on its way,
// and one in a transaction, which may end within the grace.
func TestSessionsOfWithdrawnKeysEnd(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.customers = customersWithKeys(map[string]string{"ada": "key-a", "bea": "key-b"})
	f.applyConfiguration(2)

	idle, open, other := f.connectWithKey("latest", "key-a"), f.connectWithKey("latest", "key-a"), f.connectWithKey("latest", "key-b")

	for _, caller := range []*client{idle, open, other} {
		caller.statements <- Statement{ID: "1", Kind: Begin}

		f.require.NoError((<-caller.replies).Err)
		caller.statements <- Statement{ID: "2", Kind: Write, Writes: true, Text: "WRITE x"}

		f.require.NoError((<-caller.replies).Err)

		if caller != open {
			caller.statements <- Statement{ID: "3", Kind: Commit}

			f.require.NoError((<-caller.replies).Err)
		}
	}

	f.customers = customersWithKeys(map[string]string{"bea": "key-b"})
	f.applyConfiguration(3)

	<-idle.closed

	open.statements <- Statement{ID: "3", Kind: Commit}

	f.require.NoError((<-open.replies).Err, "the transaction ends within the grace")
	<-open.closed

	other.statements <- Statement{ID: "4", Kind: Read, Text: "READ x"}

	f.require.NoError((<-other.replies).Err)
	close(other.statements)
	<-other.closed

	late := f.connectWithKey("latest", "key-a")
	<-late.closed
	assert.Equal(t, result.Authentication, result.CodeOf(late.rejected))
}

// Guards against a statement that runs on a holder which already knows that the key was withdrawn.
func TestHolderRefusesWithdrawnKeys(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.customers = customersWithKeys(map[string]string{"ada": "key-a"})
	f.applyConfiguration(5)

	known, withdrawn := topology.NewKeyID("key-a"), topology.NewKeyID("key-old")

	for _, test := range []struct {
		name   string
		key    topology.KeyID
		number uint64
		want   result.Code
	}{
		{"known key", known, 4, result.OK},
		{"withdrawn key", withdrawn, 4, result.Authentication},
		{"key that the sender knows from a newer configuration", withdrawn, 6, result.OK},
	} {
		reply := f.gateway.Forward(t.Context(), &ForwardRequest{
			Statement: Statement{ID: "1", Kind: Read, Text: "READ x"}, Customer: "ada", Key: &test.key, ConfigurationNumber: test.number,
			Pool:      topology.Pool{Group: "g", Database: "latest", Timeout: time.Second, TargetLatency: time.Second},
			Remaining: time.Second, LastAttempt: true,
		})
		assert.Equal(t, test.want, result.CodeOf(reply.Failure.Err()), test.name)
	}
}
