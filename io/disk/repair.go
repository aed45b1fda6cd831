package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Report tells what Repair found and did.
type Report struct {
	// Damage is the reason why the folder was refused, or nil if it is intact and was left alone.
	Damage error
	// MovedTo is the folder that the damaged files were moved to.
	MovedTo string
	// Moved are the names of the moved files.
	Moved []string
}

// Repair moves the content of a damaged folder aside, into a folder within it. The member then starts with an empty
// folder, rejoins under a new identity and receives the log from the other members. Cutting the log off at the
// damage would be shorter, but the member may have confirmed what follows, and a quorum may count on it.
//
// An intact folder is left alone. A folder in use by another process and a failing disk are reported as errors.
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

	// The identity goes first and durably: without it, Open refuses what an interrupted repair leaves behind.
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
