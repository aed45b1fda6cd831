package standin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// storedState is the persistent state of a member besides its log and its database.
type storedState struct {
	Identity    string            `json:"identity"`
	Incarnation uint64            `json:"incarnation"`
	Primary     bool              `json:"primary"`
	Settings    map[string]string `json:"settings"`
}

// store is the data folder of a member.
type store struct {
	folder string
	state  storedState
	wal    *wal
}

const identityBytes = 8

// openStore opens a data folder. A folder without a state file is initialised with a new identity.
func openStore(folder string, primary bool) (*store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create data folder")
	}

	s := &store{folder: folder}
	content, err := os.ReadFile(s.path("state"))

	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := s.removeAll(); err != nil {
			return nil, err
		}

		var identity [identityBytes]byte

		_, _ = rand.Read(identity[:])
		s.state = storedState{Identity: hex.EncodeToString(identity[:]), Primary: primary, Settings: map[string]string{}}
	case err != nil:
		return nil, eris.Wrap(err, "read state")
	default:
		if err := json.Unmarshal(content, &s.state); err != nil {
			return nil, eris.Wrapf(err, "decode state file %s", s.path("state"))
		}
	}

	// The current time makes the incarnation grow even if the disk was lost.
	s.state.Incarnation = max(s.state.Incarnation+1, uint64(time.Now().UnixMilli()))

	if err := s.save(); err != nil {
		return nil, err
	}

	s.wal, err = openWAL(s.path("log"))

	return s, err
}

func (s *store) path(name string) string {
	return filepath.Join(s.folder, name)
}

// save writes the state file atomically.
func (s *store) save() error {
	content, err := json.Marshal(s.state)
	if err != nil {
		return eris.Wrap(err, "encode state")
	}

	if err := os.WriteFile(s.path("state.new"), content, 0o600); err != nil {
		return eris.Wrap(err, "write state")
	}

	return eris.Wrap(os.Rename(s.path("state.new"), s.path("state")), "write state")
}

func (s *store) setSettings(values map[string]string) error {
	s.state.Settings = maps.Clone(values)

	return s.save()
}

func (s *store) close() error {
	return s.wal.file.Close()
}

// removeDatabase removes the database; it can be rebuilt from the log, which stays.
func (s *store) removeDatabase() error {
	return s.removeFiles("data.db", "data.db-wal", "data.db-shm")
}

// removeAll removes the database, the log and the state file.
func (s *store) removeAll() error {
	return errors.Join(s.removeDatabase(), s.removeFiles("log", "state"))
}

func (s *store) removeFiles(names ...string) error {
	for _, name := range names {
		if err := os.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "remove data")
		}
	}

	return nil
}
