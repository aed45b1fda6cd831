package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/io/backend"
)

// TestAgeIsAnUpperBound guards against data that count as younger than they are. The primary is observed only now and
// then but may write at any time; the test compares with the times of all writes.
func TestAgeIsAnUpperBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		type write struct {
			at  time.Time
			lsn position.LSN
		}

		var (
			seen   samples
			writes []write
			lsn    position.LSN = 10
		)

		now := time.Unix(50, 0)
		writes = append(writes, write{now, lsn})

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "millis")) * time.Millisecond)

			if rapid.Bool().Draw(t, "writes") {
				lsn += position.LSN(rapid.IntRange(1, 5).Draw(t, "bytes"))
				writes = append(writes, write{now, lsn})

				continue
			}

			// The query began before the primary answered; a write may have happened between the two.
			seen.add(3, lsn, now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "delay"))*time.Millisecond))
		}

		replayed := position.LSN(rapid.IntRange(5, int(lsn)).Draw(t, "replayed"))
		age := seen.age(position.Position{Term: 3, LSN: replayed}, now)

		// The age of the data is the time since the first write that they lack.
		for _, write := range writes {
			if write.lsn > replayed {
				require.GreaterOrEqual(t, age, now.Sub(write.at))

				break
			}
		}

		require.Equal(t, UnknownAge, seen.age(position.Position{Term: 2, LSN: lsn}, now))
	})
}

// TestAgeOfIdleGroup guards against an up-to-date replica that counts as older and older while nobody writes.
func TestAgeOfIdleGroup(t *testing.T) {
	t.Parallel()

	var seen samples

	now := time.Unix(50, 0)

	for range 100 {
		now = now.Add(time.Second)
		seen.add(1, 10, now)
	}

	assert.Equal(t, time.Second, seen.age(position.Position{Term: 1, LSN: 10}, now.Add(time.Second)))
	assert.Len(t, seen.list, 1)
}

// TestSamplesAreBounded guards against samples that grow with the number of writes.
func TestSamplesAreBounded(t *testing.T) {
	t.Parallel()

	var seen samples

	now := time.Unix(50, 0)
	for i := range 10 * maxSamples {
		seen.add(1, position.LSN(10+i), now.Add(time.Duration(i)*time.Second))
	}

	assert.LessOrEqual(t, len(seen.list), maxSamples)
	assert.Equal(t, position.LSN(10), seen.list[0].lsn)
}

// TestCommitQuorum guards against commit quorums that do not intersect with the fence quorums, especially while the
// members change.
func TestCommitQuorum(t *testing.T) {
	t.Parallel()

	list := func(names ...string) []string { return names }
	for _, test := range []struct {
		name              string
		members, previous []string
		replicas          []string
		want              bool
	}{
		{"one member", list("p"), nil, nil, true},
		{"two members, alone", list("p", "a"), nil, nil, false},
		{"two members", list("p", "a"), nil, list("a"), true},
		{"three members", list("p", "a", "b"), nil, list("b"), true},
		{"three members, a stranger", list("p", "a", "b"), nil, list("c"), false},
		{"five members, one replica", list("p", "a", "b", "c", "d"), nil, list("b"), false},
		{"growing, old quorum only", list("p", "a", "b", "c"), list("p", "a", "b"), list("a"), false},
		{"growing, new quorum only", list("p", "a"), list("p"), list("a"), true},
		{"growing, both", list("p", "a", "b", "c"), list("p", "a", "b"), list("a", "c"), true},
		{"shrinking", list("p", "a"), list("p", "a", "b"), list("b"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			group := registry.Group{Primary: "p", Members: test.members, PreviousMembers: test.previous}
			replicas := make(map[string]struct{})

			for _, name := range test.replicas {
				replicas[name] = struct{}{}
			}

			assert.Equal(t, test.want, isCommitQuorum(group, replicas))
		})
	}
}

// TestVoters guards against a member that counts in quorums although it came back without its data.
func TestVoters(t *testing.T) {
	t.Parallel()

	servers := map[string]registry.Server{
		"p": {Name: "p", Identity: "1"}, "a": {Name: "a", Identity: "2"}, "b": {Name: "b", Identity: "3"},
		"c": {Name: "c"},
	}
	counted := voters(&groupState{servers: servers, group: registry.Group{
		Primary: "p", Members: []string{"p", "a", "b"}, PreviousMembers: []string{"p", "a", "c"},
		MemberIdentities: map[string]string{"p": "1", "a": "2", "b": "other"},
	}})
	assert.Len(t, counted, 2)
	assert.True(t, counted.Has("a"))
	assert.True(t, counted.Has("c"), "a member whose identity was never recorded")
}

// TestReplayedOfAttachedReplica guards against a replica that counts as holding writes of a term although it has only been
// attached to it: its log may still end in a part of the older term that was discarded.
func TestReplayedOfAttachedReplica(t *testing.T) {
	t.Parallel()

	c := &Coordinator{listedTerm: map[string]position.Term{"b": 2}}
	group := registry.Group{History: position.NewHistory(position.TermBegin{Term: 1}, position.TermBegin{Term: 2, LSN: 50})}
	observed := TimedObservation{Observation: backend.Observation{
		InRecovery: true, ReplayedLSN: 70, Attachment: backend.Attachment{Term: 2},
	}}

	assert.Equal(t, position.Position{Term: 2, LSN: 50}, c.replayedPosition(group, "a", observed))
	assert.Equal(t, position.Position{Term: 2, LSN: 70}, c.replayedPosition(group, "b", observed))

	observed.Attachment.Term = 3
	assert.Equal(t, position.Position{}, c.replayedPosition(group, "b", observed), "the beginning of the term is unknown")

	observed.Attachment.Term = 1
	assert.Equal(t, position.Position{Term: 1, LSN: 70}, c.replayedPosition(group, "a", observed))
}

// TestHolderOf guards against connections whose permits are charged to the wrong process.
func TestHolderOf(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		application string
		proxy       string
		instance    uint64
		permitted   bool
	}{
		{ApplicationName("p1", 0xa7, "pool/3"), "p1", 0xa7, true},
		{ApplicationName("p1", 0xa7, KindDirect), "p1", 0xa7, true},
		{ApplicationName("p1", 0xa7, KindMonitor), "", 0, false},
		{ApplicationName("p1", 0xa7, KindProbe), "", 0, false},
		{"ag/p1/17", "p1", 0, true},
		{"ag/p1", "p1", 0, true},
		{"ag//x", "", 0, false},
		{"agcontrol/c1", "", 0, false},
		{"psql", "", 0, false},
	} {
		holder, permitted := holderOf(test.application)
		assert.Equal(t, test.permitted, permitted, test.application)
		assert.Equal(t, test.proxy, holder.Proxy, test.application)
		assert.Equal(t, test.instance, holder.Instance, test.application)
	}
}
