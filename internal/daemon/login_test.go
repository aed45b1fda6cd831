package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/settings"
)

// Guards against control that can't log in to servers because it reads another password from the file than proxies do.
func TestPasswordKeepsItsBytes(t *testing.T) {
	t.Parallel()

	for _, test := range []struct{ content, want string }{
		{" a b ", " a b "}, {" a b \n", " a b "}, {"a\t\r\n", "a\t"}, {"\u00a0ä\u2028\n", "\u00a0ä\u2028"}, {"a'\\=\xff\n", "a'\\=\xff"},
	} {
		file := filepath.Join(t.TempDir(), "password")
		require.NoError(t, os.WriteFile(file, []byte(test.content), 0o600))

		login := backendLogin(settings.Running{Backend: settings.BackendLogin{User: "u", PasswordFile: file}})
		assert.Equal(t, test.want, login.Password, "%q", test.content)
	}
}
