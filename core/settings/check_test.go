package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const minimal = `{
  "format": 1,
  "site": "test",
  "vm": {
    "name": "vm1", "centre": "here",
    "caller": "127.0.0.1:6432", "peer": "127.0.0.1:7100", "operator": "127.0.0.1:7300"
  },
  "control": [{"name": "c1", "address": "127.0.0.1:7401", "operator": "127.0.0.1:7301"}],
  "running": {"pools": {"shop": {"groups": ["g1", "g2"]}}}
}`

// Guards against a missing default, which would leave a limit at zero.
func TestDefaultsAreFilledIn(t *testing.T) {
	loaded, err := Parse(Source{"base", []byte(minimal)},
		Source{"vm", []byte(`{"running": {"pools": {"shop": {"traffic": [{"name": "web"}]}}}}`)})
	require.NoError(t, err)

	require.Equal(t, Defaults().Timing, loaded.Settings.Running.Timing)
	require.Equal(t, "shop", loaded.Settings.Running.Pools["shop"].Database)
	require.Equal(t, TrafficRule{Name: "web", Users: []string{}, Applications: []string{}, Session: "shared",
		Pooling: "transaction", Durability: "replica", QueueLimit: defaultQueueLimit},
		loaded.Settings.Running.Pools["shop"].Traffic[0])
	require.Equal(t, defaultCallerLimit, loaded.Settings.VM.CallerLimit)
}

// Guards against settings with mistakes that a process accepts. Each case has one mistake and the path and the text of
// its fault.
func TestEachMistakeIsReported(t *testing.T) {
	cases := []struct {
		name, overlay, path, allowed string
	}{
		{"unknown key", `{"vm": {"nane": "x"}}`, "vm.nane", "unknown key"},
		{"key in another letter case", `{"Format": 1}`, "Format", "unknown key"},
		{"unknown key removed", `{"vm": {"nane": null}}`, "vm.nane", "unknown key"},
		{"key twice", `{"site": "a", "site": "b"}`, "site", "stands twice"},
		{"null in a list", `{"control": [null]}`, "control[0]", "no null"},
		{"format changed", `{"format": 2}`, "format", "may not change"},
		{"format removed", `{"format": null}`, "format", "may not change"},
		{"wrong type", `{"vm": {"name": 5}}`, "vm.name", "want a text"},
		{"fraction", `{"vm": {"caller_limit": 1.5}}`, "vm.caller_limit", "whole number"},
		{"number beyond range", `{"vm": {"caller_limit": 1e30}}`, "vm.caller_limit", "whole number"},
		{"duration without unit", `{"running": {"timing": {"lease": "3"}}}`, "running.timing.lease", "units"},
		{"duration as number", `{"running": {"timing": {"lease": 3}}}`, "running.timing.lease", "units"},
		{"address without port", `{"vm": {"peer": "10.0.0.1"}}`, "vm.peer", "IP address with a port"},
		{"host name", `{"vm": {"peer": "localhost:1"}}`, "vm.peer", "IP address with a port"},
		{"port zero", `{"vm": {"caller": "127.0.0.1:0"}}`, "vm.caller", "1 to 65535"},
		{"same address", `{"vm": {"operator": "127.0.0.1:7100"}}`, "vm.operator", "overlaps 127.0.0.1:7100 at vm.peer"},
		{"wildcard address", `{"vm": {"caller": "0.0.0.0:7100"}}`, "vm.peer", "overlaps 0.0.0.0:7100 at vm.caller"},
		{"address of control", `{"vm": {"operator": "127.0.0.1:7401"}}`, "control[0].address", "overlaps"},
		{"open listener", `{"vm": {"operator": "10.0.0.1:7300"}}`, "vm.operator", "off loopback"},
		{"open word", `{"vm": {"open": "yes"}}`, "vm.open", OpenUnauthenticated},
		{"no role", `{"vm": {"caller": null}}`, "vm.caller", "vm.control"},
		{"proxy without peer", `{"vm": {"peer": null}}`, "vm.peer", "missing"},
		{"even control", `{"control": [{"name": "c1", "address": "127.0.0.1:1", "operator": "127.0.0.1:2"},
			{"name": "c2", "address": "127.0.0.1:3", "operator": "127.0.0.1:4"}]}`, "control", "odd number"},
		{"control without own entry", `{"vm": {"control": "127.0.0.1:7400", "data": "d"}}`, "control", `named "vm1"`},
		{"control without data", `{"vm": {"name": "c1", "control": "127.0.0.1:7401", "operator": "127.0.0.1:7301"}}`,
			"vm.data", "missing"},
		{"control at another address", `{"vm": {"name": "c1", "control": "127.0.0.1:9", "data": "d"}}`,
			"vm.control", "address of control[0]"},
		{"log level", `{"log": {"level": "loud"}}`, "log.level", "debug, info, warn, error"},
		{"certificate without key", `{"tls": {"certificate": "c"}}`, "tls.key", "missing"},
		{"callers without key", `{"tls": {"callers": true}}`, "tls.callers", "needs tls.certificate"},
		{"lease over 3 s", `{"running": {"timing": {"lease": "3001ms"}}}`, "running.timing.lease", "to 3s"},
		{"lease under a renewal", `{"running": {"timing": {"lease": "1s"}}}`, "running.timing.lease", "1.5s"},
		{"monitor timeout", `{"running": {"timing": {"monitor_timeout": "13s"}}}`,
			"running.timing.monitor_timeout", "to 5s"},
		{"detection", `{"running": {"timing": {"failures": 5}}}`, "running.timing.failures", "failover within 12s"},
		{"negative duration", `{"running": {"timing": {"deadline": "-1s"}}}`, "running.timing.deadline", "want 1ms"},
		{"message limit", `{"running": {"timing": {"message_limit": 10}}}`, "running.timing.message_limit", "1024"},
		{"unconfirmed", `{"running": {"when_unconfirmed": "guess"}}`, "running.when_unconfirmed", "refuse, serve"},
		{"pool without groups", `{"running": {"pools": {"shop": {"groups": []}}}}`,
			"running.pools.shop.groups", "at least one group"},
		{"group twice", `{"running": {"pools": {"shop": {"groups": ["g1", "g1"]}}}}`,
			"running.pools.shop.groups[1]", "callers already reach running.pools.shop.groups[0]"},
		{"pool.group twice", `{"running": {"pools": {"shop.g1": {"groups": ["g3"]}}}}`,
			"running.pools.shop.groups[0]", `callers already reach running.pools["shop.g1"]`},
		{"group with colon", `{"running": {"pools": {"shop": {"groups": ["a:b"]}}}}`,
			"running.pools.shop.groups[0]", "letters"},
		{"age below monitor", `{"running": {"pools": {"shop": {"traffic": [{"name": "a", "max_age": "499ms"}]}}}}`,
			"running.pools.shop.traffic[0].max_age", "want 500ms"},
		{"session word", `{"running": {"pools": {"shop": {"traffic": [{"name": "a", "session": "x"}]}}}}`,
			"running.pools.shop.traffic[0].session", "shared, connection"},
		{"pattern", `{"running": {"pools": {"shop": {"traffic": [{"name": "a", "users": ["["]}]}}}}`,
			"running.pools.shop.traffic[0].users[0]", "shell pattern"},
		{"queue", `{"running": {"pools": {"shop": {"traffic": [{"name": "a", "queue": -1}]}}}}`,
			"running.pools.shop.traffic[0].queue", "want 1"},
		{"verifier", `{"running": {"users": {"u": {"verifier": "hunter2"}}}}`, "running.users.u.verifier", "SCRAM"},
		{"list in place of object", `{"vm": []}`, "vm", "want an object"},
		{"nesting", `{"vm": ` + strings.Repeat("[", 70) + strings.Repeat("]", 70) + `}`, "", "levels"},
		{"not JSON", "{\n\"vm\": }", "", "not JSON"},
		{"not an object", `[]`, "", "want an object"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(Source{"base", []byte(minimal)}, Source{"vm", []byte(test.overlay)})

			var faults Faults

			require.ErrorAs(t, err, &faults)

			for _, fault := range faults {
				require.NotContains(t, fault.String(), "hunter2")

				if fault.Path == test.path && strings.Contains(fault.Allowed, test.allowed) {
					return
				}
			}

			require.Failf(t, "fault missing", "want %s: %s in\n%v", test.path, test.allowed, err)
		})
	}
}

// Guards against a check that stops at the first fault, and against a fault with a line of another file.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	folder := t.TempDir()
	base, overlay := filepath.Join(folder, "base.json"), filepath.Join(folder, "vm.json")
	require.NoError(t, os.WriteFile(base, []byte(strings.Replace(minimal, `"site": "test"`, `"site": 7`, 1)), 0o600))
	require.NoError(t, os.WriteFile(overlay, []byte("{\n\"log\": {\n\"level\": \"loud\"},\n\"tsl\": 1}"), 0o600))

	_, err := Load(base, overlay)

	require.EqualError(t, err, "settings have 3 faults\n"+
		base+":3: site: 7: want a text\n"+
		overlay+":4: tsl: 1: unknown key; allowed are format, site, vm, control, tls, tokens, log, running\n"+
		overlay+`:3: log.level: "loud": want one of debug, info, warn, error`)

	_, err = Load(base, filepath.Join(folder, "a.json"), filepath.Join(folder, "b.json"))
	require.ErrorContains(t, err, "a.json: no such file")
	require.ErrorContains(t, err, "b.json: no such file")
}

// Guards against a configuration that control accepts and stores but can't read back.
func TestRunningSurvivesStorage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := Defaults()
		running.Pools["p"] = Pool{
			Groups: rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 3, rapid.ID[string]).Draw(t, "groups"),
			Traffic: rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) TrafficRule {
				return TrafficRule{
					Name:       rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "name"),
					Urgent:     rapid.Bool().Draw(t, "urgent"),
					QueueLimit: rapid.IntRange(0, 9).Draw(t, "queue"),
				}
			}), 0, 3, func(rule TrafficRule) string { return rule.Name }).Draw(t, "traffic"),
		}

		data, err := json.Marshal(running)
		require.NoError(t, err)

		first, faults := CheckRunning(data)
		require.Empty(t, faults)
		require.Empty(t, Difference(running, first), "defaults are not a difference")

		data, err = json.Marshal(first)
		require.NoError(t, err)

		second, faults := CheckRunning(data)
		require.Empty(t, faults)
		require.Equal(t, first, second)
	})
}

// Guards against a difference that omits a change or shows a secret.
func TestDifferenceShowsChangesAndHidesSecrets(t *testing.T) {
	before, faults := CheckRunning([]byte(`{"pools": {"shop": {"groups": ["g1"]}},
		"users": {"a": {"verifier": ""}}}`))
	require.Empty(t, faults)

	after, faults := CheckRunning([]byte(`{"pools": {"shop": {"groups": ["g1", "g2"]}}, "timing": {"lease": "2s"}}`))
	require.Empty(t, faults)

	require.Equal(t, `+ pools.shop.groups[1]: "g2"
~ timing.lease: "3s" -> "2s"
- users.a.verifier: ""
`, Difference(before, after))
	require.Empty(t, Difference(after, after))

	secret, other := before, before
	secret.Users = map[string]User{"a": {Verifier: "hunter2"}}
	other.Users = map[string]User{"a": {Verifier: "hunter3"}}

	require.Equal(t, "~ users.a.verifier: \"(hidden)\" -> (another secret)\n", Difference(secret, other))
}

// Guards against example files of the operators' guide that don't load.
func TestExampleFilesLoad(t *testing.T) {
	const folder = "../../docs/examples/"

	for _, site := range []string{"teranga", "kalasag"} {
		files, err := filepath.Glob(folder + site + "/*.json")
		require.NoError(t, err)
		require.Len(t, files, 6)

		for _, vm := range files {
			loaded, err := Load(folder+"base.json", folder+site+".json", vm)
			require.NoError(t, err, vm)
			require.Equal(t, site, loaded.Settings.Site)
			require.NotEmpty(t, loaded.Settings.Running.Pools)
		}
	}

	for _, overlays := range [][]string{nil, {folder + "local/control1.json"}} {
		_, err := Load(folder+"local/base.json", overlays...)
		require.NoError(t, err)
	}
}

// Guards against a configuration in the README that differs from the example file.
func TestReadmeShowsExample(t *testing.T) {
	page, err := os.ReadFile("../../README.md")
	require.NoError(t, err)

	example, err := os.ReadFile("../../docs/examples/local/base.json")
	require.NoError(t, err)

	shown := regexp.MustCompile(`(?s)\n    \{\n.*?\n    \}\n`).FindString(string(page))
	require.JSONEq(t, string(example), shown)
}

// Guards against input from an operator or a file that makes the process panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal), []byte(`{"vm": {"caller": null, "open": []}}`))
	f.Add([]byte(`{"control": [1, {}, [null]]}`), []byte(`[[[`))
	f.Add([]byte(`{"running": {"pools": {"": null, "a": {"traffic": [7]}}}}`), []byte("{\"\xff\": 1e999}"))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		loaded, err := Parse(Source{"base", base}, Source{"vm", overlay})
		if (loaded == nil) == (err == nil) {
			t.Fatal("want either settings or faults")
		}

		if err == nil {
			loaded.Values()
		}

		running, faults := CheckRunning(base)
		if len(faults) == 0 {
			Difference(running, Defaults())
		}
	})
}
