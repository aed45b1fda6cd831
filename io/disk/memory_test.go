package disk_test

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"

	"almondgrade/io/disk"
)

// errInjected is the error of an injected failure, errCrashed that of every operation after a crash.
var (
	errInjected = errors.New("no space left on device")
	errCrashed  = errors.New("the process has crashed")
)

// inode is a file. What is not synced may be lost, in part or as a whole, by a crash.
type inode struct {
	synced  []byte
	present []byte
}

// memory is a disk in memory that crashes or fails at a chosen operation.
type memory struct {
	random *rand.Rand
	// names are the directory entries that a running process sees, durable those that survive a crash.
	names   map[string]*inode
	durable map[string]*inode
	folders map[string]bool
	locked  bool

	operations int
	// crashAt and failAt are numbers of operations; 0 is never.
	crashAt int
	failAt  int
	crashed bool
	failed  int
	// failSyncOnly makes only syncs fail.
	kinds map[string]int
}

func newMemory(seed uint64) *memory {
	return &memory{
		random: rand.New(rand.NewPCG(seed, 2)), names: make(map[string]*inode), durable: make(map[string]*inode),
		folders: make(map[string]bool), kinds: make(map[string]int),
	}
}

// operation counts an operation that changes the disk and decides its fate. A write that fails or is cut off by a
// crash may have written a part.
func (m *memory) operation(kind string) error {
	if m.crashed {
		return errCrashed
	}

	m.operations++
	m.kinds[kind]++

	switch m.operations {
	case m.crashAt:
		m.crashed = true

		return errCrashed
	case m.failAt:
		m.failed++

		return errInjected
	}

	return nil
}

// restart keeps what a crash leaves: durable names, and of each file what was synced plus a random part of the rest,
// in which pages may be missing.
func (m *memory) restart() {
	m.crashed, m.locked = false, false
	m.operations, m.crashAt, m.failAt = 0, 0, 0

	// Each change of a name since the last sync of the folder survives or not.
	for _, name := range m.changedNames() {
		if m.random.IntN(2) == 0 {
			if node, found := m.names[name]; found {
				m.durable[name] = node
			} else {
				delete(m.durable, name)
			}
		}
	}

	m.names = make(map[string]*inode)
	for name, node := range m.durable {
		m.names[name] = node
	}

	for _, name := range sorted(m.names) {
		m.names[name].crash(m.random)
	}
}

func (m *memory) changedNames() []string {
	var changed []string

	for name, node := range m.names {
		if m.durable[name] != node {
			changed = append(changed, name)
		}
	}

	for name := range m.durable {
		if m.names[name] == nil {
			changed = append(changed, name)
		}
	}

	slices.Sort(changed)

	return changed
}

func sorted(names map[string]*inode) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}

	slices.Sort(list)

	return list
}

func (n *inode) crash(random *rand.Rand) {
	if len(n.present) > len(n.synced) {
		tail := slices.Clone(n.present[len(n.synced):])
		tail = tail[:random.IntN(len(tail)+1)]

		if len(tail) > 0 && random.IntN(2) == 0 {
			clear(tail[:random.IntN(len(tail))])
		}

		n.synced = append(slices.Clone(n.synced), tail...)
	}

	n.present = slices.Clone(n.synced)
}

func (m *memory) Mkdir(path string) error {
	if err := m.operation("mkdir"); err != nil {
		return err
	}

	m.folders[path] = true

	return nil
}

func (m *memory) List(folder string) ([]string, error) {
	if m.crashed {
		return nil, errCrashed
	}

	var names []string

	for _, path := range sorted(m.names) {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}

	for path := range m.folders {
		if path != folder && filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}

	slices.Sort(names)

	return names, nil
}

func (m *memory) Read(path string) ([]byte, error) {
	if m.crashed {
		return nil, errCrashed
	}

	node := m.names[path]
	if node == nil {
		return nil, fs.ErrNotExist
	}

	return slices.Clone(node.present), nil
}

func (m *memory) Create(path string) (disk.File, error) {
	if err := m.operation("create"); err != nil {
		return nil, err
	}

	m.names[path] = &inode{}

	return &handle{m, m.names[path]}, nil
}

func (m *memory) Truncate(path string, size int64) error {
	if err := m.operation("truncate"); err != nil {
		return err
	}

	node := m.names[path]
	node.present = node.present[:size]
	node.synced = slices.Clone(node.present)

	return nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.operation("rename"); err != nil {
		return err
	}

	m.names[to] = m.names[from]
	delete(m.names, from)

	return nil
}

func (m *memory) Remove(path string) error {
	if err := m.operation("remove"); err != nil {
		return err
	}

	delete(m.names, path)

	return nil
}

func (m *memory) SyncFolder(folder string) error {
	if err := m.operation("sync folder"); err != nil {
		return err
	}

	for _, path := range m.changedNames() {
		if filepath.Dir(path) != folder && !strings.HasPrefix(path, folder) {
			continue
		}

		if node, found := m.names[path]; found {
			m.durable[path] = node
		} else {
			delete(m.durable, path)
		}
	}

	return nil
}

func (m *memory) Lock(string) (io.Closer, error) {
	if m.crashed {
		return nil, errCrashed
	}

	if m.locked {
		return nil, disk.ErrLocked
	}

	m.locked = true

	return unlock{m}, nil
}

type unlock struct{ memory *memory }

func (u unlock) Close() error {
	u.memory.locked = false

	return nil
}

// handle is an open file.
type handle struct {
	memory *memory
	node   *inode
}

func (h *handle) Write(content []byte) (int, error) {
	if err := h.memory.operation("write"); err != nil {
		part := content[:h.memory.random.IntN(len(content)+1)]
		if !errors.Is(err, errCrashed) || h.memory.operations == h.memory.crashAt {
			h.node.present = append(slices.Clone(h.node.present), part...)
		}

		return len(part), err
	}

	h.node.present = append(slices.Clone(h.node.present), content...)

	return len(content), nil
}

func (h *handle) Sync() error {
	if err := h.memory.operation("sync"); err != nil {
		return err
	}

	h.node.synced = slices.Clone(h.node.present)

	return nil
}

func (h *handle) Close() error {
	return nil
}
