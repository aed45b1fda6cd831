package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/standin"
)

// Guards against a script that is split wrongly or continues after an error, and against hidden rows and NULL values.
func TestQueryRunsScript(t *testing.T) {
	t.Parallel()

	member, err := standin.New(standin.Options{Name: "db0", Primary: true})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, member.Close()) })

	script := filepath.Join(t.TempDir(), "script.sql")
	require.NoError(t, os.WriteFile(script, []byte(`
		-- a comment; not a statement
		CREATE TABLE t (v text);
		INSERT INTO t VALUES ('a;b'), (NULL);
		SELECT v, 1 AS one FROM t; SELECT * FROM missing;
		INSERT INTO t VALUES ('after the error');`), 0o600))

	var out bytes.Buffer

	command := queryCommand{Address: member.Addr().String(), User: "app", Timeout: time.Minute, ScriptFile: script, out: &out}
	require.ErrorContains(t, command.Execute(nil), "42P01")
	assert.Equal(t, "(CREATE TABLE)\n(INSERT 0 2)\nv\tone\na;b\t1\nNULL\t1\n(SELECT 2)\n", out.String())

	out.Reset()

	command = queryCommand{Address: member.Addr().String(), User: "app", Timeout: time.Minute, out: &out}
	require.Error(t, command.Execute(nil))

	command.Arguments.SQL = []string{"SELECT count(*) FROM t"}
	require.NoError(t, command.Execute(nil))
	assert.Equal(t, "count\n2\n(SELECT 1)\n", out.String())
}
