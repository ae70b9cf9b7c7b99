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

// startController starts a controller that exports to a collector and has a spool.
func startController(t *testing.T, dir, listen, collector string) *exec.Cmd {
	t.Helper()
	text, _ := scenarios.XML("bad-day")
	scenario, err := settings.ParseScenario("bad-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	config := scenario.Controller(0, "127.0.0.1:1") // no exchange list is there: every call is refused
	config.Listen = listen
	config.Flows = settings.Flows{Collectors: []settings.Collector{{Address: collector}}, SpoolDirectory: filepath.Join(dir, "spool"), ReplayRate: 3000,
		SummaryInterval: 200 * time.Millisecond, ConfirmAfter: 300 * time.Millisecond}
	file := filepath.Join(dir, "controller.xml")
	output, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(settings.Write(output, "controller", config), output.Close()); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "run", file)
	command.Env = append(os.Environ(), runAsProgram+"=1")
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	for range 500 {
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			return command
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the controller does not listen")
	return nil
}

// unusedAddress returns a loopback address on which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A controller runs while the collector is unreachable. Two further incarnations are
// killed while they replay its spool, and a fourth completes the replay. No record of
// the first incarnation may be missing or be received twice without a mark.
func TestKilledDuringReplay(t *testing.T) {
	dir, listen, collectorAddr := t.TempDir(), unusedAddress(t), unusedAddress(t)
	first := startController(t, dir, listen, collectorAddr)
	if stdout, stderr, status := runProgram(t, "load", listen, "--rate", "3000", "--for", "2s", "--class", "fetch", "--patience", "3s", "--holding", "0s"); status != 0 {
		t.Fatalf("load: %s%s", stdout, stderr)
	}
	if err := errors.Join(first.Process.Signal(syscall.SIGTERM), first.Wait()); err != nil {
		t.Fatal(err)
	}
	collector, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", collectorAddr)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		collector.Serve(listener)
	}()
	for range 2 {
		before := collector.MessageCount()
		replaying := startController(t, dir, listen, collectorAddr)
		for i := 0; collector.MessageCount() < before+20 && i < 500; i++ {
			time.Sleep(5 * time.Millisecond)
		}
		if err := replaying.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = replaying.Wait() // returns an error because the process was killed
	}
	last := startController(t, dir, listen, collectorAddr)
	for i := 0; i < 600; i++ {
		if files, _ := filepath.Glob(filepath.Join(dir, "spool", "lane-0", "*.ipfix")); len(files) == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := errors.Join(last.Process.Signal(syscall.SIGTERM), last.Wait()); err != nil {
		t.Fatal(err)
	}
	listener.Close()
	<-done
	report := collector.Report()
	if err := collector.Close(); err != nil {
		t.Error(err)
	}
	summary := fmt.Sprintf("counted %d, received %d, in sums %d, dropped %d, resent %d, duplicates without a mark %d", report.Counted, report.Received, report.Folded, report.Dropped,
		report.Resent, report.Duplicates)
	if report.Duplicates != 0 || report.Difference != 0 || report.Counted < 5000 || report.Dropped != 0 {
		t.Error(summary)
	}
	t.Log(summary)
}
