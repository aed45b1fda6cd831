package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/freshness"
	"almondgrade/core/position"
)

// Guards against a floor that misses a commit which the read must see. The reference version keeps every commit with
// the time of its acknowledgement.
func TestFloorCoversEveryCommitOfTheAge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		track := freshness.New()
		now := time.Unix(100, 0)
		maxAge := time.Duration(rapid.IntRange(100, 2500).Draw(t, "maxAge")) * time.Millisecond

		type commit struct {
			at  time.Time
			lsn position.LSN
		}

		var commits []commit

		lsn := position.LSN(1)

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "passed")) * time.Millisecond)

			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				lsn++
				commits = append(commits, commit{now, lsn})
			case 1:
				track.Observe(now, position.Position{Term: 1, LSN: lsn})
			default:
				floor, known := track.Floor(now, maxAge)
				if !known {
					continue
				}

				for _, one := range commits {
					if now.Sub(one.at) > maxAge {
						require.GreaterOrEqual(t, floor.LSN, one.lsn)
					}
				}
			}
		}
	})
}

// Guards against an old observation that is used as a floor after the primary has been silent, for example while the VM
// was suspended.
func TestFloorExpires(t *testing.T) {
	t.Parallel()

	track := freshness.New()
	start := time.Unix(100, 0)
	track.Observe(start, position.Position{Term: 2, LSN: 7})

	floor, known := track.Floor(start.Add(time.Second), time.Second)
	assert.True(t, known)
	assert.Equal(t, position.Position{Term: 2, LSN: 7}, floor)

	_, known = track.Floor(start.Add(time.Second+time.Millisecond), time.Second)
	assert.False(t, known)
}

// Guards against a replica that is considered current although the primary has advanced.
func TestLag(t *testing.T) {
	t.Parallel()

	track := freshness.New()
	start := time.Unix(100, 0)

	for i := range 10 {
		track.Observe(start.Add(time.Duration(i)*100*time.Millisecond), position.Position{Term: 1, LSN: position.LSN(i)})
	}

	now := start.Add(time.Second)
	assert.Equal(t, 600*time.Millisecond, track.Lag(now, position.Position{Term: 1, LSN: 3}))
	assert.Zero(t, track.Lag(now, position.Position{Term: 1, LSN: 9}))
}
