// Package outlier judges the replicas of a group by what statements see of them, in comparison with each other.
//
// It is built for a server that fails a part of its statements while its health checks succeed, that lies about its
// health, that goes down and up again, or that turns very slow. Such a server is ejected: it gets no statements for a
// time that doubles with each ejection and is halved for each period in which the server holds. Then it gets a trickle of
// statements, and is readmitted once a number of them in sequence has succeeded.
//
// A failure that the other replicas show as well, for example of the statements themselves, ejects none of them. The last
// replica that works is never ejected. Primaries are not judged here: control replaces them. Each proxy judges for
// itself, so that a server stays in use for the data centres that reach it.
//
// A Judge has no clock and is not safe for concurrent use.
//
// # Usage
//
//	judge := outlier.NewJudge()
//	if judge.Admits(now, "db2") {
//		judge.Take(now, "db2")
//		judge.Record(now, "db2", run())
//	}
package outlier
