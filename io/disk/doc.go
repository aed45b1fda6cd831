// Package disk keeps a member of the replicated log in a data folder.
//
// The folder holds:
//
//   - "identity": who the member is. A missing file means that the disk is new or was lost.
//   - "log-NUMBER.seg": segments of records. Each record is one frame with a CRC-32C, written and synced as a whole
//     by one Save. A segment begins with the position of the log and the term and vote at that time.
//   - "snapshot-INDEX.snap": the latest snapshot. It is written to a ".tmp" file, synced, renamed, and the folder
//     is synced.
//   - "lock": held while a process uses the folder.
//
// # Crashes and corruption
//
// A crash can leave the last frame incomplete. It was not confirmed to anybody, because Save had not returned, and
// is truncated at start. A damaged frame that is followed by an intact one was synced, so the member may have
// confirmed what it held: Open refuses with a CorruptError that names file, offset and the way to repair. Repair
// moves the damaged files aside; the member then rejoins under a new identity.
//
// A damaged frame at the very end can't be told from an incomplete one and is truncated too.
//
// An error from a write or a sync is final. The kernel may drop the pages of a failed sync and report success the
// next time, so nothing is retried: every later call returns the first error.
//
// # Usage
//
//	log, err := disk.Open(disk.Options{Folder: folder})
//	identity, found := log.Identity()
//	if !found {
//		err = log.Identify(disk.Identity{Name: name, ID: drawn})
//	}
//	saved, err := log.Load()
package disk
