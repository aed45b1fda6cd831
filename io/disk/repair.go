package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Report describes what Repair found and did.
type Report struct {
	// Damage is the reason why the folder was refused, or nil if it is intact and was not changed.
	Damage error
	// MovedTo is the folder to which the files were moved.
	MovedTo string
	// Moved are the names of the moved files.
	Moved []string
}

// Repair moves the content of a damaged folder to a subfolder. The member then starts with an empty folder, rejoins
// under a new identity and receives the log from the other members. Truncating the log at the damage would be simpler,
// but the member may have confirmed later entries, and a quorum may rely on them.
//
// Repair doesn't change an intact folder. It returns an error if another process uses the folder or a file operation
// fails.
func Repair(options Options) (Report, error) {
	log, err := Open(options)
	if err == nil {
		return Report{}, log.Close()
	}

	var damage *CorruptError
	if !errors.As(err, &damage) {
		return Report{}, err
	}

	log = &Log{folder: options.Folder, files: options.Files}
	if log.files == nil {
		log.files = OSFiles{}
	}

	lock, err := log.files.Lock(log.path(lockName))
	if err != nil {
		return Report{}, log.recordFailure("lock", log.path(lockName), err)
	}

	report := Report{Damage: damage}
	err = log.moveAside(&report)

	return report, errors.Join(err, lock.Close())
}

func (l *Log) moveAside(report *Report) error {
	names, err := l.files.List(l.folder)
	if err != nil {
		return l.recordFailure("list", l.folder, err)
	}

	number := 1
	for slices.Contains(names, fmt.Sprintf(damagedFolderFormat, number)) {
		number++
	}

	report.MovedTo = l.path(fmt.Sprintf(damagedFolderFormat, number))
	if err := l.files.Mkdir(report.MovedTo); err != nil {
		return l.recordFailure("create folder", report.MovedTo, err)
	}

	// The identity is moved first, and durably: without an identity, Open refuses the files that remain after an
	// interrupted repair.
	slices.SortStableFunc(names, func(a, b string) int { return moveOrder(a) - moveOrder(b) })

	for _, name := range names {
		if name == lockName || strings.HasPrefix(name, "damaged-") {
			continue
		}

		if err := l.files.Rename(l.path(name), report.MovedTo+"/"+name); err != nil {
			return l.recordFailure("move", l.path(name), err)
		}

		report.Moved = append(report.Moved, name)

		if name == identityName {
			if err := l.syncFolders(report.MovedTo); err != nil {
				return err
			}
		}
	}

	return l.syncFolders(report.MovedTo)
}

func moveOrder(name string) int {
	if name == identityName {
		return 0
	}

	return 1
}

func (l *Log) syncFolders(movedTo string) error {
	for _, folder := range []string{movedTo, l.folder} {
		if err := l.files.SyncFolder(folder); err != nil {
			return l.recordFailure("sync folder", folder, err)
		}
	}

	return nil
}
