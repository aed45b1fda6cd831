package proxy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// Guards against callers that get another pool than they named, because names of pools and groups may have the dot that
// separates them.
func TestDatabaseNamesWithDots(t *testing.T) {
	t.Parallel()

	view := &registry.View{}
	view.Running.Pools = map[string]settings.Pool{
		"shop": {Groups: []string{"db1", "eu.db2", "east"}}, "shop.eu": {Groups: []string{"db3"}}, "shop.east": {Groups: []string{"db4"}},
		"v1.2": {Groups: []string{"db5", "db6"}},
	}

	for _, test := range []struct {
		database string
		want     target
	}{
		{"shop.db1", target{"shop", "db1"}},
		{"shop.eu.db2", target{"shop", "eu.db2"}},
		{"shop.eu", target{"shop.eu", "db3"}},
		{"shop.eu.db3", target{"shop.eu", "db3"}},
		{"v1.2.db6", target{"v1.2", "db6"}},
	} {
		found, err := findTarget(view, test.database)
		require.NoError(t, err, test.database)
		assert.Equal(t, test.want, found)
	}

	for _, database := range []string{"", ".", "shop", "shop.", "shop.db9", "v1.2", "v1", "shop.eu.db9", "shop.east"} {
		_, err := findTarget(view, database)
		assert.Equal(t, result.PoolUnknown, result.CodeOf(err), "%q", database)
	}
}
