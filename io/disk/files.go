package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Files are the file operations that a Log uses. Tests replace them to inject failures.
type Files interface {
	// Mkdir creates a folder and its parents if they don't exist.
	Mkdir(path string) error
	// List returns the names in a folder in ascending order.
	List(folder string) ([]string, error)
	// Read returns the content of a file. A missing file is reported as fs.ErrNotExist.
	Read(path string) ([]byte, error)
	// Create creates a file, or truncates it to zero length, and opens it for writing.
	Create(path string) (File, error)
	// Truncate shortens a file to a size in bytes and syncs it.
	Truncate(path string, size int64) error
	// Rename renames a file. It replaces a file that has the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
	// Lock takes a lock that is released when the process ends. It fails with ErrLocked if another process holds it.
	Lock(path string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes everything written durable.
	Sync() error
}

// SpaceReporter is implemented by Files that know how much room there is.
type SpaceReporter interface {
	// Free returns the number of bytes that can be written to a folder.
	Free(folder string) (uint64, error)
}

// ErrLocked is returned by Lock while another process uses the folder.
var ErrLocked = errors.New("another process uses the data folder")

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// OSFiles implements Files with the operating system's files.
type OSFiles struct{}

// Mkdir implements Files.
func (OSFiles) Mkdir(path string) error {
	return os.MkdirAll(path, folderMode)
}

// List implements Files.
func (OSFiles) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))

	for _, entry := range entries {
		names = append(names, entry.Name())
	}

	return names, err
}

// Read implements Files.
func (OSFiles) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements Files. Writes go to the end of the file, also after it was truncated.
func (OSFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// Free implements SpaceReporter.
func (OSFiles) Free(folder string) (uint64, error) {
	var found syscall.Statfs_t
	if err := syscall.Statfs(folder, &found); err != nil {
		return 0, err
	}

	return found.Bavail * uint64(found.Bsize), nil
}

// Truncate implements Files.
func (OSFiles) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}

	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}

	return errors.Join(err, file.Close())
}

// Rename implements Files.
func (OSFiles) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements Files.
func (OSFiles) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements Files.
func (OSFiles) SyncFolder(folder string) error {
	opened, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}

	return errors.Join(opened.Sync(), opened.Close())
}

// Lock implements Files.
func (OSFiles) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}

	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}

		return nil, errors.Join(err, file.Close())
	}

	return file, nil
}
