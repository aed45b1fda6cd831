package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// script runs the part of the testscript language that testdata uses, in the test's process: exits CODE COMMAND,
// stdout, stderr, cmp, cp, exists, mkdir, stdin, env, and ! for the opposite.
type script struct {
	t              *testing.T
	stdout, stderr bytes.Buffer
}

// runScript unpacks a txtar archive into an empty folder and runs the script in front of its files there.
func runScript(t *testing.T, archive string) {
	t.Helper()
	t.Chdir(t.TempDir())

	marker := regexp.MustCompile(`(?m)^-- (\S+) --\n`)
	places := marker.FindAllStringSubmatchIndex(archive, -1)
	end := len(archive)

	for i := len(places) - 1; i >= 0; i-- {
		place := places[i]
		require.NoError(t, os.WriteFile(archive[place[2]:place[3]], []byte(archive[place[1]:end]), 0o600))
		end = place[0]
	}

	running := &script{t: t}
	commands := 0

	for number, line := range strings.Split(archive[:end], "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}

		running.line(strconv.Itoa(number+1)+": "+line, words(line))

		commands++
	}

	require.Positive(t, commands)
}

// words splits a line at spaces outside single quotes and expands variables outside them.
func words(line string) []string {
	var split []string

	for _, part := range regexp.MustCompile(`'[^']*'|\S+`).FindAllString(line, -1) {
		if strings.HasPrefix(part, "'") {
			split = append(split, strings.Trim(part, "'"))
		} else {
			split = append(split, os.ExpandEnv(part))
		}
	}

	return split
}

func (s *script) line(where string, words []string) {
	s.t.Helper()

	opposite := words[0] == "!"
	if opposite {
		words = words[1:]
	}

	switch words[0] {
	case "exits":
		require.Equal(s.t, "almondgrade", words[2], where)
		s.stdout.Reset()
		s.stderr.Reset()

		code := run(words[3:], &s.stdout, &s.stderr)
		require.Equal(s.t, words[1], strconv.Itoa(code), "%s\n%s%s", where, &s.stdout, &s.stderr)
	case "stdout", "stderr":
		content := s.content(words[0])
		found := regexp.MustCompile("(?m)" + words[1]).MatchString(content)
		require.Equal(s.t, !opposite, found, "%s\n%s", where, content)
	case "cmp":
		require.Equal(s.t, s.content(words[2]), s.content(words[1]), where)
	case "cp":
		target := words[2]
		require.NoError(s.t, os.WriteFile(target, []byte(s.content(words[1])), 0o600), where)
	case "exists":
		_, err := os.Stat(words[1])
		require.Equal(s.t, !opposite, err == nil, where)
	case "mkdir":
		require.NoError(s.t, os.MkdirAll(filepath.Clean(words[1]), 0o700), where)
	case "stdin":
		file, err := os.Open(words[1])
		require.NoError(s.t, err, where)

		before := os.Stdin
		os.Stdin = file

		s.t.Cleanup(func() {
			os.Stdin = before

			require.NoError(s.t, file.Close())
		})
	case "env":
		name, value, _ := strings.Cut(words[1], "=")
		s.t.Setenv(name, value)
	default:
		require.Fail(s.t, "unknown command", where)
	}
}

// content returns an output of the last command, or a file.
func (s *script) content(name string) string {
	switch name {
	case "stdout":
		return s.stdout.String()
	case "stderr":
		return s.stderr.String()
	default:
		data, err := os.ReadFile(name)
		require.NoError(s.t, err)

		return string(data)
	}
}
