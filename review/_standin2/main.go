// Command review2 plays the cases of the second review: it starts one controller by the deploy file's run line,
// stands in for the exchanges, the resolver, the callers and the network, writes record.txt and judges one rule.
//
//	review2 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// scenario is one run of a case.
type scenario struct {
	trouble bool
	dir     string // temporary
	root    string // of the repository
	start   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	ends   []func() // what to stop at the end, last first
}

// failure is panicked with when a case can't run.
type failure string

// note writes one line to record.txt.
func (s *scenario) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (s *scenario) breach(format string, args ...any) {
	s.note("BROKEN "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// cannotRun ends the case with exit status 2.
func (s *scenario) cannotRun(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

func (s *scenario) atEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, f)
}

func (s *scenario) stop() {
	for {
		s.mu.Lock()
		if len(s.ends) == 0 {
			s.mu.Unlock()
			return
		}
		f := s.ends[len(s.ends)-1]
		s.ends = s.ends[:len(s.ends)-1]
		s.mu.Unlock()
		f()
	}
}

// cases are the cases by name.
var cases = map[string]func(*scenario){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(body func(*scenario), folder string) (status int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := &scenario{trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, start: time.Now(), record: record}
	s.note("trouble %v", s.trouble)
	defer func() {
		if r := recover(); r != nil {
			why, ok := r.(failure)
			if !ok {
				s.stop()
				panic(r)
			}
			s.note("the case can't run: %s", why)
			fmt.Println("the case can't run:", why)
			status = 2
		}
		s.stop()
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { // a case that is stopped or takes too long ends what it started
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		s.stop()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	body(s)
	if len(s.broken) > 0 {
		s.note("verdict: the rule was broken %d times", len(s.broken))
		fmt.Printf("broken: %s\n", s.broken[0])
		return 1
	}
	s.note("verdict: the rule held")
	fmt.Println("held")
	return 0
}
