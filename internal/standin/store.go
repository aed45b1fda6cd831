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

// state is what a member keeps besides its log and its tables.
type state struct {
	Identity    string            `json:"identity"`
	Incarnation uint64            `json:"incarnation"`
	Primary     bool              `json:"primary"`
	Settings    map[string]string `json:"settings"`
}

// store is the data folder of a member.
type store struct {
	folder string
	state  state
	wal    *wal
}

const identityBytes = 8

// openStore opens a data folder, or fills it with a new identity if it holds none.
func openStore(folder string, primary bool) (*store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create data folder")
	}

	s := &store{folder: folder}
	content, err := os.ReadFile(s.path("state"))

	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := s.wipe(); err != nil {
			return nil, err
		}

		var identity [identityBytes]byte

		_, _ = rand.Read(identity[:])
		s.state = state{Identity: hex.EncodeToString(identity[:]), Primary: primary, Settings: map[string]string{}}
	case err != nil:
		return nil, eris.Wrap(err, "read state")
	default:
		if err := json.Unmarshal(content, &s.state); err != nil {
			return nil, eris.Wrapf(err, "state file %s", s.path("state"))
		}
	}

	// The time makes the number grow even across a lost disk.
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

// save writes the state file in one step.
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

// wipeTables removes the tables; the log stays and can rebuild them.
func (s *store) wipeTables() error {
	return s.remove("data.db", "data.db-wal", "data.db-shm")
}

// wipe removes everything.
func (s *store) wipe() error {
	return errors.Join(s.wipeTables(), s.remove("log", "state"))
}

func (s *store) remove(names ...string) error {
	for _, name := range names {
		if err := os.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "remove data")
		}
	}

	return nil
}
