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

// scriptRunner runs the part of the testscript language that testdata uses, in the test's process: exits CODE COMMAND,
// stdout, stderr, cmp, cp, exists, mkdir, stdin, env, and ! for negation.
type scriptRunner struct {
	t              *testing.T
	stdout, stderr bytes.Buffer
}

// runScript unpacks a txtar archive into an empty folder and runs the script that precedes its files there.
func runScript(t *testing.T, archive string) {
	t.Helper()
	t.Chdir(t.TempDir())

	marker := regexp.MustCompile(`(?m)^-- (\S+) --\n`)
	markers := marker.FindAllStringSubmatchIndex(archive, -1)
	end := len(archive)

	for i := len(markers) - 1; i >= 0; i-- {
		position := markers[i]
		require.NoError(t, os.WriteFile(archive[position[2]:position[3]], []byte(archive[position[1]:end]), 0o600))
		end = position[0]
	}

	script := &scriptRunner{t: t}
	commands := 0

	for number, line := range strings.Split(archive[:end], "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}

		script.runLine(strconv.Itoa(number+1)+": "+line, splitWords(line))

		commands++
	}

	require.Positive(t, commands)
}

// splitWords splits a line at spaces outside single quotes and expands variables outside them.
func splitWords(line string) []string {
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

func (s *scriptRunner) runLine(location string, words []string) {
	s.t.Helper()

	negated := words[0] == "!"
	if negated {
		words = words[1:]
	}

	switch words[0] {
	case "exits":
		require.Equal(s.t, "almondgrade", words[2], location)
		s.stdout.Reset()
		s.stderr.Reset()

		code := run(words[3:], &s.stdout, &s.stderr)
		require.Equal(s.t, words[1], strconv.Itoa(code), "%s\n%s%s", location, &s.stdout, &s.stderr)
	case "stdout", "stderr":
		content := s.readOutputOrFile(words[0])
		found := regexp.MustCompile("(?m)" + words[1]).MatchString(content)
		require.Equal(s.t, !negated, found, "%s\n%s", location, content)
	case "cmp":
		require.Equal(s.t, s.readOutputOrFile(words[2]), s.readOutputOrFile(words[1]), location)
	case "cp":
		target := words[2]
		require.NoError(s.t, os.WriteFile(target, []byte(s.readOutputOrFile(words[1])), 0o600), location)
	case "exists":
		_, err := os.Stat(words[1])
		require.Equal(s.t, !negated, err == nil, location)
	case "mkdir":
		require.NoError(s.t, os.MkdirAll(filepath.Clean(words[1]), 0o700), location)
	case "stdin":
		file, err := os.Open(words[1])
		require.NoError(s.t, err, location)

		previousStdin := os.Stdin
		os.Stdin = file

		s.t.Cleanup(func() {
			os.Stdin = previousStdin

			require.NoError(s.t, file.Close())
		})
	case "env":
		name, value, _ := strings.Cut(words[1], "=")
		s.t.Setenv(name, value)
	default:
		require.Fail(s.t, "unknown command", location)
	}
}

// readOutputOrFile returns an output of the last command, or a file.
func (s *scriptRunner) readOutputOrFile(name string) string {
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
