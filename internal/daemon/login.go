package daemon

import (
	"almondgrade/core/settings"
	"almondgrade/io/backend"
)

// backendLogin returns the login for backend servers. It reads the password from its file each time, so that a new
// password takes effect without a restart. A file that can't be read gives an empty password, which servers refuse.
func backendLogin(running settings.Running) backend.Login {
	login := backend.Login{User: running.Backend.User}

	if running.Backend.PasswordFile != "" {
		if password, err := backend.ReadPassword(running.Backend.PasswordFile); err == nil {
			login.Password = password
		}
	}

	for _, pool := range running.Pools {
		if login.Database == "" || pool.Database < login.Database {
			login.Database = pool.Database
		}
	}

	return login
}
