package disk

import (
	"encoding/json"
	"errors"
	"io/fs"

	"almondgrade/core/raft"
)

// identitySalt is the salt of the frame in the identity file, which belongs to no segment.
const identitySalt = 0

// Identity identifies the member whose log a folder holds.
type Identity struct {
	Name string  `json:"name"`
	ID   raft.ID `json:"id"`
	// Group is the number of the group of members that the log belongs to, or 0 before it is known.
	Group uint64 `json:"group,omitempty"`
	// FoundingMembers are the members that form a new group. It is empty unless this member is one of them.
	FoundingMembers []raft.Member `json:"founding,omitempty"`
	// Active is true once the group is formed.
	Active bool `json:"active,omitempty"`
}

func (l *Log) readIdentity() error {
	path := l.path(identityName)

	content, err := l.files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}

	if err != nil {
		return l.recordFailure("read", path, err)
	}

	payload, size, intact := decodeFrame(identitySalt, content)

	var identity Identity
	if !intact || size != len(content) || json.Unmarshal(payload, &identity) != nil || identity.ID == 0 {
		return l.corruptError(path, 0, "the identity can't be read")
	}

	l.identity = &identity

	return nil
}

// Identity returns the member's identity, or false if there is none. A new folder has none, and neither has the folder
// after the loss of the disk.
func (l *Log) Identity() (Identity, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.identity == nil {
		return Identity{}, false
	}

	return *l.identity, true
}

// SaveIdentity stores the member's identity durably.
func (l *Log) SaveIdentity(identity Identity) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.failure != nil {
		return l.failure
	}

	// An identity without a segment means that the log was lost.
	if err := l.ensureSegment(); err != nil {
		return err
	}

	content, err := json.Marshal(identity)
	if err != nil {
		return l.recordFailure("encode", identityName, err)
	}

	if err := l.replaceFile(identityName, encodeFrame(identitySalt, content)); err != nil {
		return err
	}

	l.identity = &identity

	return nil
}
