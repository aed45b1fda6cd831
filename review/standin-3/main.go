// Command standin-3 runs the scripted cases of a review. It starts almondgrade's programs as separate processes, on
// loopback addresses, with stand-ins for the platform, the backend servers, the operator and the clients, and reports
// whether a rule was broken.
//
// # Usage
//
//	standin-3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
// the environment variable TROUBLE=0 it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
}

// cases are the cases by name.
//
//nolint:gochecknoglobals // Constant.
var cases = map[string]func(*recorder, bool) (verdict, error){
	"foreign": runForeign,
	"hidden":  runHidden,
	"lost":    runLost,
	"memory":  runMemory,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")

		return exitFailed
	}

	file, err := os.Create(filepath.Join(os.Args[2], "record.txt")) //nolint:gosec // The folder of the case.
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}

	record := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, disruption: %t", os.Args[1], trouble)

	found, err := cases[os.Args[1]](record, trouble)
	if err != nil {
		record.add("the case could not run: %v", err)

		return exitFailed
	}

	if err := errors.Join(record.err, file.Close()); err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}

	if found.broken {
		return exitBroken
	}

	return exitHeld
}

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
	err   error
}

// add writes a line with the time since the start, also to standard output.
func (r *recorder) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if _, err := r.file.WriteString(line); err != nil && r.err == nil {
		r.err = err
	}

	fmt.Print(line)
}
