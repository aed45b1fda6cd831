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

// watched is a value that is made from files and made again when they change.
type watched[T any] struct {
	files   []string
	make    func(contents [][]byte) (*T, error)
	current atomic.Pointer[T]
	stop    timer.StopFunc

	mutex    sync.Mutex
	contents [][]byte
}

// watch reads the files once, and then at each interval. Failures of later reads are logged.
func watch[T any](files []string, interval time.Duration, clock timer.Service, logger *slog.Logger,
	build func(contents [][]byte) (*T, error),
) (*watched[T], error) {
	w := &watched[T]{files: files, make: build}

	if err := w.reload(); err != nil {
		return nil, err
	}

	w.stop = clock.Every(interval, func(time.Time) {
		if err := w.reload(); err != nil {
			logger.Error("key files can't be read; the keys in force stay", "error", err)
		}
	})

	return w, nil
}

// reload reads the files, and replaces the value if they changed.
func (w *watched[T]) reload() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	contents := make([][]byte, len(w.files))
	same := w.contents != nil

	for i, file := range w.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(err, "read key file")
		}

		contents[i] = data
		same = same && bytes.Equal(data, w.contents[i])
	}

	if same {
		return nil
	}

	built, err := w.make(contents)
	if err != nil {
		return err
	}

	w.contents = contents
	w.current.Store(built)

	return nil
}
