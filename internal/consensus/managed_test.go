package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// voters returns the names of the voters that the leader knows.
func (c *cluster) voters() []string {
	var names []string

	for _, member := range c.processes[c.leader()].group.Status().Members {
		if member.Voter {
			names = append(names, member.Name)
		}
	}

	return names
}

// managedCluster runs three members that form a log and further ones that join it without an operator.
func managedCluster(t *testing.T, most int, joining ...string) *cluster {
	t.Helper()

	c := newCluster(t, "a", "b", "c")
	c.managed, c.blank = most, make(map[string]bool)

	c.start("a", "b", "c")
	c.propose(1)

	for _, name := range joining {
		c.blank[name] = true
		require.NoError(t, c.run(c.member(name), c.folder(name)))
	}

	return c
}

// Guards against a log of three members where there are five VMs with disks: on kalasag-reg-grown, four members lost
// two disks at once, and with them acknowledged configurations.
func TestLogGrows(t *testing.T) {
	t.Parallel()

	c := managedCluster(t, 5, "d", "e", "f")
	c.eventually("five voters", func() bool { return len(c.voters()) == 5 })

	c.propose(2)

	// Any two members may lose their disks.
	for _, name := range c.voters()[:2] {
		c.stop(name)
		c.lose(name)
	}

	c.requireLatest(2)
}

// Guards against an even number of members: a log of six that is cut in two halves has no majority in either.
func TestLogGrowsToAnOddNumber(t *testing.T) {
	t.Parallel()

	c := managedCluster(t, 7, "d", "e", "f")
	c.eventually("five voters", func() bool { return len(c.voters()) == 5 })

	const beats = 100

	from := c.processes["a"].clock.beats.Load()

	c.eventually("many heartbeats", func() bool { return c.processes["a"].clock.beats.Load() > from+beats })
	require.Len(t, c.voters(), 5)

	// The sixth takes the place of a member that is lost.
	voters := c.voters()
	lost := without(voters, c.leader())[0]
	c.stop(lost)
	c.eventually("the sixth votes", func() bool {
		now := c.voters()

		return len(now) == 5 && !contains(now, lost)
	})
	c.propose(2)
	c.requireLatest(2)
}

// Guards against a log that bears no further loss after a VM was replaced by an empty one at another address, and
// against a member that stays outside after it was only cut off.
func TestSilentMemberIsReplaced(t *testing.T) {
	t.Parallel()

	c := managedCluster(t, 3)
	lost := c.voters()[0]
	self := c.processes[lost].self
	c.stop(lost)

	c.blank["d"] = true
	require.NoError(t, c.run(c.member("d"), c.folder("d")))
	c.eventually("the newcomer votes", func() bool {
		voters := c.voters()

		return len(voters) == 3 && contains(voters, "d") && !contains(voters, lost)
	})
	c.propose(3)

	// The replaced member returns with its disk when another one is lost, and takes that one's place.
	second := without(without(c.voters(), "d"), c.leader())[0]
	c.stop(second)
	require.NoError(t, c.run(self, c.folder(lost)))
	c.eventually("the former member votes again", func() bool { return contains(c.voters(), lost) })
	c.propose(4)
	c.requireLatest(4)
}

func contains(names []string, name string) bool {
	return len(without(names, name)) < len(names)
}

// Guards against a second group: processes whose disks are empty must not form one after the first start.
func TestBlankMembersFormNoGroup(t *testing.T) {
	t.Parallel()

	c := newCluster(t, "a", "b", "c")
	c.managed, c.blank = 3, map[string]bool{"a": true, "b": true, "c": true}
	c.start("a", "b", "c")

	const beats = 100

	c.eventually("many heartbeats", func() bool { return c.processes["a"].clock.beats.Load() > beats })

	for name, p := range c.processes {
		require.Equal(t, "blank", p.group.Status().Stage, name)
	}
}
