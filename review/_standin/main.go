package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Results of a case.
const (
	held, broken, failed = 0, 1, 2
)

var cases = map[string]func(*world) int{}

// builders holds, by case, what is started in place of world.build.
var builders = map[string]func(*world) error{}

// world is a small deployment with one controller of the project and stand-ins for all others.
type world struct {
	rec        *recorder
	dir        string
	trouble    bool
	random     *rand.Rand
	exchanges  []*exchange // by cell
	resolver   *resolver
	controller *controller
	callers    *callers
	sites      []*site // more controllers, each with its callers, its resolver and its network
	stopLoad   chan struct{}
	load       sync.WaitGroup
}

func main() {
	runtime.LockOSThread() // the controller is tied to the life of this thread
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	w := &world{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", random: rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano()))), stopLoad: make(chan struct{})}
	defer w.stop()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	rec.say("case %s, disruption %v", name, w.trouble)
	ready := make(chan error, 1)
	go func() {
		if err := <-ready; err != nil {
			rec.say("the case can't run: %v", err)
			result <- failed
			return
		}
		result <- cases[name](w)
	}()
	if build := builders[name]; build != nil {
		ready <- build(w)
	} else {
		ready <- w.build()
	}
	select {
	case code = <-result:
	case <-stop:
		rec.say("stopped by a signal")
		code = failed
	case <-time.After(115 * time.Second):
		rec.say("the case took too long")
		code = failed
	}
	rec.say("result: %s", []string{"the rule held", "the rule was broken", "the case did not run"}[code])
	return code
}

// build starts 6 exchanges, the resolver and the controller of exchange 0, and waits until it is ready.
func (w *world) build() error {
	var entries []listEntry
	for cell := range 6 {
		x, err := newExchange(w.rec, fmt.Sprintf("s-%08x", 0x00c41f70+cell), cell, 60, 20*time.Millisecond)
		if err != nil {
			return err
		}
		w.exchanges = append(w.exchanges, x)
		entries = append(entries, x.entry())
	}
	var err error
	if w.resolver, err = newResolver(w.rec, entries); err != nil {
		return err
	}
	if w.controller, err = startController(w.rec, w.dir, w.resolver.addr(), entries, 0, 6); err != nil {
		return err
	}
	w.callers = newCallers(w.rec, w.controller.listen)
	return w.controller.waitReady(w.callers)
}

func (w *world) stop() {
	select {
	case <-w.stopLoad:
	default:
		close(w.stopLoad)
	}
	w.load.Wait()
	var stopping sync.WaitGroup
	for _, s := range w.sites {
		stopping.Go(s.controller.stop)
	}
	stopping.Wait()
	for _, s := range w.sites {
		s.resolver.conn.Close()
		for _, p := range s.proxies {
			p.down()
		}
	}
	if w.controller != nil {
		w.controller.stop()
	}
	for _, x := range w.exchanges {
		x.stop()
	}
	if w.resolver != nil {
		w.resolver.conn.Close()
	}
}

// offer starts callers who offer calls at a rate to the exchanges that pick names, over four connections.
func (w *world) offer(perSecond float64, pick func(*rand.Rand) int) {
	w.load.Go(func() {
		random := rand.New(rand.NewPCG(3, 4))
		conns := make([]*callerConn, 4)
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-w.stopLoad:
				return
			case <-time.After(time.Until(next)):
			}
			if w.controller.hasExited() {
				return
			}
			i := n % len(conns)
			if conns[i] == nil || conns[i].isClosed() {
				c, err := w.callers.dial()
				if err != nil {
					w.rec.logf("caller can't connect: %v", err)
					continue
				}
				conns[i] = c
			}
			conns[i].setUp("grid-fetch", pick(random), 1, 3*time.Second)
		}
	})
}

// burst offers calls to one exchange at once, on a connection of its own.
func (w *world) burst(calls, dest int) {
	c, err := w.callers.dial()
	if err != nil {
		return
	}
	for range calls {
		c.setUp("grid-fetch", dest, 1, 3*time.Second)
	}
}
