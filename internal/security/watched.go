package security

import (
	"bytes"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/timer"
)

// watchedFiles is a value that is parsed from files, and parsed again when their contents change.
type watchedFiles[T any] struct {
	files   []string
	parse   func(contents [][]byte) (*T, error)
	current atomic.Pointer[T]
	stop    timer.StopFunc

	mutex    sync.Mutex
	contents [][]byte
}

// watchFiles reads the files once, and then again at each interval. Errors of later reads are logged.
func watchFiles[T any](files []string, interval time.Duration, clock timer.Service, logger *slog.Logger,
	parse func(contents [][]byte) (*T, error),
) (*watchedFiles[T], error) {
	w := &watchedFiles[T]{files: files, parse: parse}

	if err := w.reload(); err != nil {
		return nil, err
	}

	w.stop = clock.Every(interval, func(time.Time) {
		if err := w.reload(); err != nil {
			logger.Error("key files can't be read; the current ones stay in use", "error", err)
		}
	})

	return w, nil
}

// reload reads the files, and replaces the value if their contents changed.
func (w *watchedFiles[T]) reload() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	contents := make([][]byte, len(w.files))
	unchanged := w.contents != nil

	for i, file := range w.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(err, "read key file")
		}

		contents[i] = data
		unchanged = unchanged && bytes.Equal(data, w.contents[i])
	}

	if unchanged {
		return nil
	}

	parsed, err := w.parse(contents)
	if err != nil {
		return err
	}

	w.contents = contents
	w.current.Store(parsed)

	return nil
}
