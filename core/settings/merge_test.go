package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveMerge is the algorithm of RFC 7396, section 2.
func naiveMerge(target, patch any) any {
	changes, isObject := patch.(map[string]any)
	if !isObject {
		return patch
	}

	merged := map[string]any{}
	if present, ok := target.(map[string]any); ok {
		for name, value := range present {
			merged[name] = value
		}
	}

	for name, value := range changes {
		if value == nil {
			delete(merged, name)
		} else {
			merged[name] = naiveMerge(merged[name], value)
		}
	}

	return merged
}

// drawDocument draws a JSON object with few keys, so that overlays often set the same ones. Lists contain no nulls, which
// parse reports, and no objects with nulls.
func drawDocument(depth int) *rapid.Generator[map[string]any] {
	return rapid.Custom(func(t *rapid.T) map[string]any {
		object := map[string]any{}

		for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d.e"}), 0, 4,
			rapid.ID[string]).Draw(t, "keys") {
			object[key] = drawValue(t, depth)
		}

		return object
	})
}

func drawValue(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 5).Draw(t, "kind")

	switch {
	case kind == 0:
		return nil
	case kind == 1:
		return rapid.SampledFrom([]string{"", "x", "é\n"}).Draw(t, "text")
	case kind == 2:
		return rapid.SampledFrom([]any{[]any{}, []any{"x"}, []any{1.0, map[string]any{"a": "x"}}}).Draw(t, "list")
	case depth == 0:
		return float64(rapid.IntRange(0, 3).Draw(t, "number"))
	default:
		return drawDocument(depth-1).Draw(t, "object")
	}
}

func encode(t require.TestingT, value any) []byte {
	data, err := json.Marshal(value)
	require.NoError(t, err)

	return data
}

// Guards against a merge library that deviates from RFC 7396, and against origins of values that the merge removed or
// missing origins of values that it kept.
func TestMergeMatchesNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := naiveMerge(map[string]any{}, drawDocument(2).Draw(t, "base"))
		overlays := rapid.SliceOfN(drawDocument(2), 0, 3).Draw(t, "overlays")

		var (
			want  = base
			raw   [][]byte
			from  = origins{}
			trees []*node
		)

		for _, overlay := range overlays {
			want = naiveMerge(want, overlay)
			raw = append(raw, encode(t, overlay))
		}

		merged, err := Merge(encode(t, base), raw...)
		require.NoError(t, err)
		require.JSONEq(t, string(encode(t, want)), string(merged))

		for i, data := range append([][]byte{encode(t, base)}, raw...) {
			tree, faults := parse(Source{Name: string(rune('0' + i)), Data: data})
			require.Empty(t, faults)

			trees = append(trees, tree)
		}

		present := trees[0]
		from.record("0", present, nil)

		for i, tree := range trees[1:] {
			present = from.mergeOverlay(string(rune('1'+i)), present, tree, nil)
		}

		known := map[string]bool{}
		collectPaths(want, nil, known)

		require.Len(t, from, len(known))

		for name := range known {
			require.Contains(t, from, name)
		}
	})
}

// collectPaths adds the path of a value and of all values in it.
func collectPaths(value any, at *path, into map[string]bool) {
	into[at.String()] = true

	switch typed := value.(type) {
	case map[string]any:
		for name, member := range typed {
			collectPaths(member, at.key(name), into)
		}
	case []any:
		for i, item := range typed {
			collectPaths(item, at.index(i), into)
		}
	}
}

// Guards against an origin with the wrong file if several files set a value.
func TestOriginIsLastFileThatSetValue(t *testing.T) {
	loaded, err := Parse(Source{"base", []byte(minimal)},
		Source{"site", []byte(`{"vm": {"centre": "plateau"}, "log": {"level": "warn"}}`)},
		Source{"vm", []byte("{\n\"log\": {\n\"level\": \"debug\"}}")})
	require.NoError(t, err)

	require.Equal(t, Origin{"vm", 3}, loaded.Origin("log.level"))
	require.Equal(t, Origin{"site", 1}, loaded.Origin("vm.centre"))
	require.Equal(t, "base", loaded.Origin("vm.name").File)
	require.Equal(t, "default", loaded.Origin("running.timing.lease").String())
	require.Equal(t, "plateau", loaded.Settings.VM.Centre)
	require.Equal(t, "debug", loaded.Settings.Log.Level)

	for _, value := range loaded.Values() {
		if value.Path == "log.level" {
			require.Equal(t, Value{"log.level", `"debug"`, Origin{"vm", 3}}, value)
		}
	}
}
