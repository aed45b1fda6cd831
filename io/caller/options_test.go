package caller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against settings whose values are changed on their way from a caller's options to the server.
func TestOptionsKeepTheirValues(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		options string
		want    map[string]string
	}{
		{"--search-path=my-schema", map[string]string{"search_path": "my-schema"}},
		{"--application-name=a-b=c", map[string]string{"application_name": "a-b=c"}},
		{"-c search-path=my-schema", map[string]string{"search_path": "my-schema"}},
		{"-csearch_path=my-schema", map[string]string{"search_path": "my-schema"}},
		{`-c search_path=a\ b\\c`, map[string]string{"search_path": `a b\c`}},
		{"-c application_name=\xff\u00a0x", map[string]string{"application_name": "\xff\u00a0x"}},
		{"-c application_name=", map[string]string{"application_name": ""}},
	} {
		parameters := map[string]string{"options": test.options}
		require.NoError(t, expandOptions(parameters), test.options)
		assert.Equal(t, test.want, parameters, test.options)
	}
}
