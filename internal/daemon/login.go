package daemon

import (
	"os"
	"strings"

	"almondgrade/core/settings"
	"almondgrade/io/backend"
)

// backendLogin returns the login for backend servers. The password is read from its file each time, so that a new
// one takes effect without a restart; a file that can't be read gives an empty password, which servers refuse.
func backendLogin(running settings.Running) backend.Login {
	login := backend.Login{User: running.Backend.User}

	if running.Backend.PasswordFile != "" {
		if secret, err := os.ReadFile(running.Backend.PasswordFile); err == nil {
			login.Password = strings.TrimSpace(string(secret))
		}
	}

	for _, pool := range running.Pools {
		if login.Database == "" || pool.Database < login.Database {
			login.Database = pool.Database
		}
	}

	return login
}
