// Command standin plays the cases of the review: it starts the controller of the deploy file as a
// process of its own, and stands in for callers, exchanges, the network between them and the resolver.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each event, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
