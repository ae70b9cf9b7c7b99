package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliaspindle/internal/collect"
	"dahliaspindle/internal/settings"
	"dahliaspindle/scenarios"
)

// controller starts one that exports to a collector, with a spool.
func controller(t *testing.T, dir, listen, collector string) *exec.Cmd {
	t.Helper()
	text, _ := scenarios.Text("bad-day")
	scn, err := settings.ParseScenario("bad-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	set := scn.Controller(0, "127.0.0.1:1") // no list: every call is refused
	set.Listen = listen
	set.Flows = settings.Flows{Collectors: []settings.Collector{{Address: collector}}, SpoolDirectory: filepath.Join(dir, "spool"), ReplayRate: 3000,
		SummaryInterval: 200 * time.Millisecond, ConfirmAfter: 300 * time.Millisecond}
	file := filepath.Join(dir, "controller.xml")
	f, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(settings.Write(f, "controller", set), f.Close()); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0], "run", file)
	c.Env = append(os.Environ(), asProgram+"=1")
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for range 500 {
		if nc, err := net.Dial("tcp", listen); err == nil {
			nc.Close()
			return c
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the controller does not listen")
	return nil
}

// freePort finds an address that nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The collector is away for a controller's whole life; the next life replays
// its spool and is killed in the middle, twice; the one after that ends it. All
// that the first life counted is there, and nothing twice without a mark.
func TestKilledDuringReplay(t *testing.T) {
	dir, listen, at := t.TempDir(), freePort(t), freePort(t)
	first := controller(t, dir, listen, at)
	if out, errs, status := program(t, "load", listen, "--rate", "3000", "--for", "2s", "--class", "fetch", "--patience", "3s", "--holding", "0s"); status != 0 {
		t.Fatalf("load: %s%s", out, errs)
	}
	if err := errors.Join(first.Process.Signal(syscall.SIGTERM), first.Wait()); err != nil {
		t.Fatal(err)
	}
	col, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		col.Serve(ln)
	}()
	for range 2 {
		before := col.Messages()
		c := controller(t, dir, listen, at)
		for i := 0; col.Messages() < before+20 && i < 500; i++ {
			time.Sleep(5 * time.Millisecond)
		}
		if err := c.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = c.Wait() // killed: its status says so
	}
	last := controller(t, dir, listen, at)
	for i := 0; i < 600; i++ {
		if files, _ := filepath.Glob(filepath.Join(dir, "spool", "lane-0", "*.ipfix")); len(files) == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := errors.Join(last.Process.Signal(syscall.SIGTERM), last.Wait()); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	<-done
	r := col.Report()
	if err := col.Close(); err != nil {
		t.Error(err)
	}
	what := fmt.Sprintf("counted %d, received %d, in sums %d, dropped %d, resent %d, twice unmarked %d", r.Counted, r.Received, r.Folded, r.Dropped,
		r.Resent, r.Double)
	if r.Double != 0 || r.Difference != 0 || r.Counted < 5000 || r.Dropped != 0 {
		t.Error(what)
	}
	t.Log(what)
}
