package statement_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/statement"
)

// Guards against writes that are classified as reads, and against connection state and transaction control that is not
// recognised.
//
//nolint:misspell // SQL keywords.
func TestClassify(t *testing.T) {
	type want struct {
		kind     statement.Kind
		name     string
		readOnly bool
		pins     bool
		local    bool
	}

	tests := []struct {
		text string
		want []want
	}{
		{"", nil},
		{" ; -- nothing\n;/* /* nested */ */", nil},
		{"SELECT 1", []want{{kind: statement.Read}}},
		{"select 1; SELECT 2;", []want{{kind: statement.Read}, {kind: statement.Read}}},
		{"(SELECT 1) UNION (SELECT 2)", []want{{kind: statement.Read}}},
		{"TABLE t", []want{{kind: statement.Read}}},
		{"VALUES (1)", []want{{kind: statement.Read}}},
		{"WITH x AS (SELECT 1) SELECT * FROM x", []want{{kind: statement.Read}}},
		{"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", []want{{kind: statement.Write}}},
		{"SELECT * INTO n FROM t", []want{{kind: statement.Write}}},
		{"SELECT * INTO TEMP n FROM t", []want{{kind: statement.Write, pins: true}}},
		{"SELECT * FROM t FOR UPDATE", []want{{kind: statement.Write}}},
		{"SELECT * FROM t FOR NO KEY UPDATE", []want{{kind: statement.Write}}},
		{"SELECT substring(a FOR 3) FROM t", []want{{kind: statement.Read}}},
		{"SELECT nextval('s')", []want{{kind: statement.Write}}},
		{"SELECT pg_advisory_lock(1)", []want{{kind: statement.Write, pins: true}}},
		{`SELECT "pg_advisory_lock"(1)`, []want{{kind: statement.Write, pins: true}}},
		{"SELECT pg_advisory_xact_lock(1)", []want{{kind: statement.Write}}},
		{"SELECT set_config('a.b', 'c', false)", []want{{kind: statement.Write, pins: true}}},
		{"SELECT set_config('a.b', 'c', true)", []want{{kind: statement.Write}}},
		{"SELECT set_config('a.b', 'c', false and true)", []want{{kind: statement.Write, pins: true}}},
		{"SELECT set_config()", []want{{kind: statement.Write, pins: true}}},
		{"SELECT 'DELETE; it''s' , $$INSERT; $$, $a$ $$ ; $a$", []want{{kind: statement.Read}}},
		{`SELECT E'\'; DELETE'`, []want{{kind: statement.Read}}},
		{`SELECT '\'; DELETE FROM t`, []want{{kind: statement.Read}, {kind: statement.Write}}},
		{`SELECT "a;""b"`, []want{{kind: statement.Read}}},
		{"SELECT $1; DELETE FROM t WHERE a = $2", []want{{kind: statement.Read}, {kind: statement.Write}}},
		{"SELECT 'open", []want{{kind: statement.Write}}},
		{"SELECT /* open", []want{{kind: statement.Write}}},
		{"EXPLAIN DELETE FROM t", []want{{kind: statement.Read}}},
		{"EXPLAIN ANALYZE SELECT 1", []want{{kind: statement.Read}}},
		{"EXPLAIN (ANALYZE, VERBOSE) DELETE FROM t", []want{{kind: statement.Write}}},
		{"EXPLAIN (ANALYZE) WITH x AS (SELECT 1) SELECT 1", []want{{kind: statement.Read}}},
		{"INSERT INTO t SELECT 1", []want{{kind: statement.Write}}},
		{"CALL p()", []want{{kind: statement.Write}}},
		{"DO $$ BEGIN COMMIT; END $$", []want{{kind: statement.Write}}},
		{"WHATEVER", []want{{kind: statement.Write}}},
		{"BEGIN", []want{{kind: statement.Begin}}},
		{"BEGIN READ ONLY", []want{{kind: statement.Begin, readOnly: true}}},
		{"BEGIN READ ONLY, READ WRITE", []want{{kind: statement.Begin}}},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", []want{{kind: statement.Begin, readOnly: true}}},
		{"BEGIN; INSERT INTO t VALUES (1); COMMIT", []want{{kind: statement.Begin}, {kind: statement.Write}, {kind: statement.Commit}}},
		{"END", []want{{kind: statement.Commit}}},
		{"ABORT", []want{{kind: statement.Rollback}}},
		{"ROLLBACK WORK", []want{{kind: statement.Rollback}}},
		{"COMMIT PREPARED 'x'", []want{{kind: statement.Write}}},
		{"ROLLBACK PREPARED 'x'", []want{{kind: statement.Write}}},
		{"SAVEPOINT a", []want{{kind: statement.Savepoint, name: "a"}}},
		{"RELEASE SAVEPOINT A", []want{{kind: statement.Release, name: "a"}}},
		{`ROLLBACK TO SAVEPOINT "A"`, []want{{kind: statement.RollbackTo, name: "A"}}},
		{"SET work_mem = '1MB'", []want{{kind: statement.Set, name: "work_mem"}}},
		{"SET SESSION Work_Mem TO 100", []want{{kind: statement.Set, name: "work_mem"}}},
		{"SET LOCAL work_mem TO 100", []want{{kind: statement.Set, name: "work_mem", local: true}}},
		{"SET search_path = a, b", []want{{kind: statement.Set, name: "search_path"}}},
		{"SET TIME ZONE 'UTC'", []want{{kind: statement.Set, name: "timezone"}}},
		{"SET NAMES 'UTF8'", []want{{kind: statement.Set, name: "client_encoding"}}},
		{"SET work_mem TO DEFAULT", []want{{kind: statement.Reset, name: "work_mem"}}},
		{"SET ROLE admin", []want{{kind: statement.Write, pins: true}}},
		{"SET role = admin", []want{{kind: statement.Write, pins: true}}},
		{"SET SESSION AUTHORIZATION x", []want{{kind: statement.Write, pins: true}}},
		{"SET TRANSACTION READ ONLY", []want{{kind: statement.Write}}},
		{"SET almondgrade.token = 'x'", []want{{kind: statement.Set, name: "almondgrade.token"}}},
		{"SHOW almondgrade.outcome", []want{{kind: statement.Show, name: "almondgrade.outcome"}}},
		{"RESET ALL", []want{{kind: statement.Reset, name: "all"}}},
		{"RESET ROLE", []want{{kind: statement.Write, pins: true}}},
		{"DISCARD ALL", []want{{kind: statement.Discard, name: "all"}}},
		{"DEALLOCATE PREPARE x", []want{{kind: statement.Deallocate, name: "x"}}},
		{"PREPARE x AS SELECT 1", []want{{kind: statement.Write, pins: true}}},
		{"PREPARE TRANSACTION 'x'", []want{{kind: statement.Write}}},
		{"LISTEN x", []want{{kind: statement.Write, pins: true}}},
		{"CREATE TEMP TABLE x (a int)", []want{{kind: statement.Write, pins: true}}},
		{"CREATE OR REPLACE LOCAL TEMPORARY VIEW x AS SELECT 1", []want{{kind: statement.Write, pins: true}}},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", []want{{kind: statement.Write, pins: true}}},
		{"COPY t FROM STDIN", []want{{kind: statement.CopyIn}}},
		{"COPY t FROM '/file'", []want{{kind: statement.Write}}},
		{"COPY t (a, b) TO STDOUT", []want{{kind: statement.CopyOut}}},
		{"COPY (SELECT a FROM t) TO STDOUT", []want{{kind: statement.CopyOut}}},
		{"COPY (DELETE FROM t RETURNING *) TO STDOUT", []want{{kind: statement.Write}}},
		{"CREATE FUNCTION f() RETURNS int BEGIN ATOMIC SELECT 1; SELECT CASE WHEN true THEN 1 END; END; SELECT 1", []want{{kind: statement.Write}, {kind: statement.Read}}},
	}

	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			got := statement.Classify(test.text)
			require.Len(t, got, len(test.want))

			for i, classified := range got {
				assert.Equal(t, test.want[i].kind, classified.Kind, "kind of %q", classified.Text)
				assert.Equal(t, test.want[i].readOnly, classified.ReadOnly)
				assert.Equal(t, test.want[i].pins, classified.PinsConnection, "pins")
				assert.Equal(t, test.want[i].local, classified.Local)

				if test.want[i].name != "" {
					assert.Equal(t, test.want[i].name, classified.Name)
				}
			}
		})
	}
}

// Guards against parameters that are counted inside constants and comments.
func TestHighestParameter(t *testing.T) {
	assert.Equal(t, 2, statement.HighestParameter("SELECT $2, $1, '$3', $$ $4 $$ -- $5"))
	assert.Zero(t, statement.HighestParameter("SELECT $99999999999999999999"))
}

// fragment is a statement of a known kind.
type fragment struct {
	text string
	kind statement.Kind
}

func drawFragment(t *rapid.T) fragment {
	known := []fragment{
		{"SELECT", statement.Read}, {"INSERT INTO t SELECT", statement.Write}, {"EXPLAIN SELECT", statement.Read},
		{"DELETE FROM t WHERE a =", statement.Write}, {"VALUES", statement.Read}, {"VACUUM", statement.Write},
	}
	// Each of these is a single value, possibly with a comment, whatever its text looks like.
	harmless := rapid.SampledFrom([]string{
		"1", "'a;b'", "'it''s; DELETE'", `"x;y"`, `E'\';'`, "$$;COMMIT;$$", "$q$;'$q$", "/* ; DELETE */ 2", "-- ; INSERT\n3", "U&'x;'",
		"$1", "a.b", "1e5", "(1)", "B'01'",
	})
	chosen := rapid.SampledFrom(known).Draw(t, "known")

	for range rapid.IntRange(1, 5).Draw(t, "values") {
		chosen.text += rapid.SampledFrom([]string{" ", "\n", "\t", " /* c */ "}).Draw(t, "space") + harmless.Draw(t, "value")
	}

	return chosen
}

// Guards against constants and comments whose text changes where a statement ends or how it is classified. The naive
// version is the list of statements from which the text was built.
func TestClassifyFindsJoinedStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			texts []string
			kinds []statement.Kind
		)

		for range rapid.IntRange(0, 6).Draw(t, "statements") {
			drawn := drawFragment(t)
			texts = append(texts, drawn.text)
			kinds = append(kinds, drawn.kind)
		}

		separator := rapid.SampledFrom([]string{";", ";;", " ; ", ";/* ; */"}).Draw(t, "separator")
		got := statement.Classify(strings.Join(texts, separator))
		require.Len(t, got, len(kinds))

		for i := range got {
			require.Equal(t, kinds[i], got[i].Kind, got[i].Text)
		}
	})
}

// Guards against input that makes the lexer panic or loop, and against a statement that is classified differently within
// a text and alone.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{
		"", ";", "SELECT 1; DELETE FROM t", "'", `"`, "$", "$$", "$a$", "/*", "--", "E'", "U&\"", "SET a", "SET a = ", "SET LOCAL",
		"SET SESSION", "ROLLBACK TO", "RELEASE", "EXPLAIN (", "COPY (", "BEGIN READ", "SELECT set_config(true)", "SELECT set_config(,true)",
		"\x00\xff", "CREATE FUNCTION f BEGIN ATOMIC ; END", "DEALLOCATE", "DEALLOCATE PREPARE", "DECLARE x WITH HOLD", "SHOW",
	} {
		f.Add(seed)
	}

	f.Fuzz(func(t *testing.T, text string) {
		for _, classified := range statement.Classify(text) {
			if classified.Text == "" || !strings.Contains(text, classified.Text) {
				t.Fatalf("statement %q is not part of the text", classified.Text)
			}

			alone := statement.Classify(classified.Text)
			if len(alone) != 1 || alone[0].Kind != classified.Kind || alone[0].PinsConnection != classified.PinsConnection {
				t.Fatalf("%q is %+v within the text and %+v alone", classified.Text, classified, alone)
			}
		}

		statement.HighestParameter(text)
	})
}

// Guards against texts that servers split elsewhere than the proxy, because a setting or an encoding gives a backslash another
// meaning, and against other settings that are taken for such ones.
func TestSettingsThatChangeHowTextsAreRead(t *testing.T) {
	t.Parallel()

	for text, want := range map[string]bool{
		"SET standard_conforming_strings = off": true, "SET LOCAL Standard_Conforming_Strings TO 'f'": true,
		`SET "STANDARD_CONFORMING_STRINGS" = 0`: true, "SET standard_conforming_strings = on": false, "SET standard_conforming_strings TO 'TRUE'": false,
		"SET client_encoding = 'SJIS'": true, "SET NAMES 'win-936'": true, "SET client_encoding TO gb18030": true,
		"SET client_encoding = 'UTF8'": false, "SET NAMES 'LATIN1'": false, "SET client_encoding = 'EUC_JP'": false, "SET NAMES DEFAULT": false,
		"SELECT set_config('standard_conforming_strings', 'off', false)":          true,
		"WITH x AS (SELECT set_config('CLIENT_ENCODING', 'Big5', true)) SELECT 1": true,
		"SELECT set_config('standard_conforming_strings', $1, false)":             true,
		"SELECT set_config('standard_conforming_strings', 'on', false)":           false,
		"SELECT set_config('search_path', 'off', false)":                          false,
		"SELECT 'set_config(''standard_conforming_strings'', ''off'', false)'":    false,
		"SET search_path = 'sjis'":                                                false,
		"RESET standard_conforming_strings":                                       false,
	} {
		found := statement.Classify(text)
		require.Len(t, found, 1, text)
		assert.Equal(t, want, found[0].ChangesReading, text)
	}
}

// Guards against values that the proxy takes from a statement otherwise than a server would, such as the name of a request
// that a driver has quoted with backslashes.
func TestLiteralsAreReadAsServersDo(t *testing.T) {
	t.Parallel()

	for value, want := range map[string]string{
		"'a b'": "a b", "'it''s'": "it's", `'a\b'`: `a\b`, `E'a\\b'`: `a\b`, `e'it\'s ''x'`: "it's 'x", `E'\n\t'`: "\n\t", "$x$a'b$x$": "a'b",
		"Name": "name", `"Name"`: "Name", "12.5": "12.5", "on": "on", "''": "", "'\xff'": "\xff",
	} {
		found := statement.Classify("SET a = " + value)
		require.Len(t, found, 1, value)
		assert.Equal(t, want, found[0].Literal, value)
		assert.True(t, found[0].HasLiteral, value)
	}

	for _, value := range []string{`E'\x61'`, `E'\141'`, `E'\u0061'`, `U&'\0061'`, `U&"\0061"`, "a, b", "-5", "B'1'", "X'1F'", "N'a'", "$1", "'a' 'b'", `E'a\`} {
		found := statement.Classify("SET a = " + value)
		require.Len(t, found, 1, value)
		assert.Empty(t, found[0].Literal, value)
		assert.False(t, found[0].HasLiteral, value)
	}
}

// Guards against settings that get another value on the next connection of their session, because the prefix of a string
// is lost.
func TestValuesOfSettingsKeepTheirText(t *testing.T) {
	t.Parallel()

	for _, value := range []string{`E'a\\b'`, `e'a\'b'`, `U&'\0061'`, `U&"\0061"`, `'a', E'b\n'`, "$x$a$x$", "'a' , \"B\"", "-5", "N'a'"} {
		found := statement.Classify("SET a.b TO " + value + " ; SELECT 1")
		require.Len(t, found, 2, value)
		assert.Equal(t, value, found[0].Value)
		assert.Equal(t, "SET a.b TO "+value, found[0].Text)
	}
}
