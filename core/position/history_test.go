package position_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/position"
)

// Guards against a read from a server that lacks a surviving write, and against a read that waits for a discarded one.
func TestHistoryCovers(t *testing.T) {
	t.Parallel()

	history := position.NewHistory(position.TermBegin{Term: 1}, position.TermBegin{Term: 2, LSN: 50},
		position.TermBegin{Term: 3, LSN: 80})
	tests := []struct {
		name     string
		at, want position.Position
		covers   bool
	}{
		{"zero position", position.Position{}, position.Position{}, true},
		{"same term behind", position.Position{Term: 2, LSN: 59}, position.Position{Term: 2, LSN: 60}, false},
		{"same term equal", position.Position{Term: 2, LSN: 60}, position.Position{Term: 2, LSN: 60}, true},
		{"older term", position.Position{Term: 1, LSN: 90}, position.Position{Term: 2, LSN: 60}, false},
		{"discarded tail", position.Position{Term: 2, LSN: 50}, position.Position{Term: 1, LSN: 70}, true},
		{"surviving write", position.Position{Term: 2, LSN: 39}, position.Position{Term: 1, LSN: 40}, false},
		{"two changes", position.Position{Term: 3, LSN: 80}, position.Position{Term: 1, LSN: 70}, true},
		{"history lacks the next term", position.Position{Term: 9, LSN: 900}, position.Position{Term: 8, LSN: 1}, false},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, test.covers, history.Covers(test.at, test.want))
		})
	}
}

// naiveServer is the log of a server, as the term in which each byte was written.
type naiveServer []position.Term

// Guards against a History.Covers that differs from a comparison of complete logs.
func TestHistoryCoversMatchesWholeLogs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		begins := []position.TermBegin{{Term: 1}}
		logs := []naiveServer{nil}
		terms := rapid.IntRange(1, 5).Draw(t, "terms")

		for term := 1; term <= terms; term++ {
			log := append(naiveServer{}, logs[len(logs)-1]...)
			if term > 1 {
				keep := rapid.IntRange(0, len(log)).Draw(t, "keep")
				log = log[:keep]
				begins = append(begins, position.TermBegin{Term: position.Term(term), LSN: position.LSN(keep)})
			}

			for range rapid.IntRange(0, 6).Draw(t, "writes") {
				log = append(log, position.Term(term))
			}

			logs = append(logs, log)
		}

		history := position.NewHistory(begins...)
		wantTerm := rapid.IntRange(1, terms).Draw(t, "want term")
		wantLSN := rapid.IntRange(0, len(logs[wantTerm])).Draw(t, "want lsn")
		atTerm := rapid.IntRange(wantTerm, terms).Draw(t, "at term")
		atLSN := rapid.IntRange(0, len(logs[atTerm])).Draw(t, "at lsn")

		covers := true

		for i := range wantLSN {
			survived := true
			for later := wantTerm + 1; later <= atTerm; later++ {
				survived = survived && i < int(begins[later-1].LSN)
			}

			covers = covers && (!survived || i < atLSN)
		}

		got := history.Covers(position.Position{Term: position.Term(atTerm), LSN: position.LSN(atLSN)},
			position.Position{Term: position.Term(wantTerm), LSN: position.LSN(wantLSN)})
		if got != covers {
			t.Fatalf("position %d:%d covers %d:%d: %v by arithmetic, %v by log", atTerm, atLSN, wantTerm, wantLSN, got, covers)
		}
	})
}

// Guards against a damaged or truncated token that is accepted as a lower position.
func TestTokenRefusesDamage(t *testing.T) {
	t.Parallel()

	var token position.Token

	token.RaiseFloor("registry1", position.Position{Term: 3, LSN: 0x16B374D8})
	token.RaiseFloor("registry2", position.Position{Term: 1, LSN: 7})

	text := token.String()
	parsed, err := position.ParseToken(text)
	require.NoError(t, err)
	assert.Equal(t, text, parsed.String())

	for i := range len(text) {
		damaged := []byte(text)
		damaged[i] ^= 1

		_, err := position.ParseToken(string(damaged))
		if err == nil {
			// Only the last base64 character can have unused bits.
			assert.Equal(t, len(text)-1, i)
		}

		if i > 0 {
			_, err = position.ParseToken(text[:i])
			require.ErrorIs(t, err, position.ErrTokenDamaged)
		}
	}
}
