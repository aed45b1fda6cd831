// Package disk stores the state of one member of the replicated log in a data folder.
//
// The folder holds:
//
//   - "identity": who the member is. A missing file means that the disk is new or was lost.
//   - "log-NUMBER.seg": segments of records. Each record is one frame with a CRC-32C, which a Save writes and syncs as a
//     whole. The first record of a segment holds the position of the log and the term and vote at that time.
//   - "snapshot-INDEX.snap": the latest snapshot. It is written to a ".tmp" file, synced, renamed, and the folder
//     is synced.
//   - "lock": held while a process uses the folder.
//
// # Crashes and corruption
//
// A crash can leave the last frame incomplete. Its content was not confirmed to any other member, because Save had not
// returned, so Open truncates it. A damaged frame that is followed by an intact one was synced, so the member may have
// confirmed its content: Open fails with a CorruptError that names the file, the offset and the repair command. Repair
// moves the content of the folder to a subfolder; the member then rejoins under a new identity.
//
// A damaged frame at the very end can't be distinguished from an incomplete one and is truncated, too.
//
// # Failures
//
// A write that is refused for lack of room (ENOSPC) has no effect: the part of it that was written was never synced and is
// truncated, and the call returns a FullError. It may be repeated. With little room, a compaction begins a new segment, so
// that the former ones can be removed.
//
// Any other error from a write, and each from a sync, is final. The kernel may drop the pages of a failed sync and report success for the
// next sync, so nothing is retried: every later call returns the first error.
//
// # Usage
//
//	log, err := disk.Open(disk.Options{Folder: folder})
//	identity, found := log.Identity()
//	if !found {
//		err = log.SaveIdentity(disk.Identity{Name: name, ID: drawn})
//	}
//	saved, err := log.Load()
package disk
