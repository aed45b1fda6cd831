package result

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a page for callers that differs from the code, and against a code without advice.
func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	require.NoError(t, err)

	rows := regexp.MustCompile(`(?m)^\| \d+ .*$`).FindAllString(string(page), -1)
	require.Len(t, rows, len(Table()))

	for i, want := range Table() {
		cells := strings.Split(strings.Trim(rows[i], "| "), " | ")
		require.Len(t, cells, 7, rows[i])

		retry := "no"
		if want.Retryable {
			retry = "yes"
		}

		require.Equal(t, []string{strconv.Itoa(int(want.Code)), "`" + want.Name + "`", want.SQLState, want.Ran.String(),
			retry, want.Text}, cells[:6])
		require.NotEmpty(t, cells[6])
	}
}

// Guards against a code that violates the contract of its range, such as a refusal of a request that ran.
func TestCodesFollowTheirRanges(t *testing.T) {
	names := map[string]bool{}
	last := OK

	for _, row := range Table() {
		require.Greater(t, row.Code, last, "ascending")
		require.Regexp(t, `^[0-9A-Z]{5}$`, row.SQLState)
		require.False(t, names[row.Name], row.Name)

		last = row.Code
		names[row.Name] = true

		switch row.Code / 100 {
		case 12:
			require.Equal(t, RanNo, row.Ran)
			require.False(t, row.Retryable)
		case 13:
			require.Equal(t, RanNo, row.Ran)
			require.True(t, row.Retryable)
		case 14:
			require.Equal(t, RanUnknown, row.Ran)
			require.False(t, row.Retryable)
		}

		require.Equal(t, row, row.Code.Describe())
	}
}

// Guards against an unknown code that counts as not run, which would allow a retry.
func TestUnknownCodeMayHaveRun(t *testing.T) {
	require.Equal(t, RanUnknown, Code(9999).Ran())
	require.False(t, Code(9999).Describe().Retryable)
}

// Guards against a code or a cause that wrapping loses.
func TestErrorKeepsCodeAndCause(t *testing.T) {
	err := fmt.Errorf("outer: %w", New(NoPrimary, "group %s: %w", "g1", io.EOF))

	require.EqualError(t, err, "outer: AG1302: group g1: EOF")
	require.Equal(t, NoPrimary, CodeOf(err))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, OK, CodeOf(errors.New("plain")))
}
