package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// controller is the process that the deploy file's run line starts.
type controller struct {
	s      *scenario
	cmd    *exec.Cmd
	addr   string
	name   string
	config string // path
	exited chan struct{}
	ending bool // an end is no crash
}

// settings is the object that the controller is configured with, with the figures of a small deployment:
// those of the example on the page about the simulator's wire.
func settings(controllers int) map[string]any {
	return map[string]any{
		"balancers": controllers, "me": 0, "quantum_ns": 5_000_000, "client_habits": map[string]any{"marks_retry": true},
		"domain": map[string]any{"call_length_ns": []int64{11e9, 17.6e9, 5.5e9}, "circuits_by_class": []int{1, 2, 1},
			"release_ns": 300_000_000, "self_no": 0, "shape": "network", "route_advice": false},
		"policy_limits": map[string]any{"attempts_cap": 6, "cancelling": true, "conn_idle_ns": int64(600e9), "connect_timeout_ns": 500_000_000,
			"max_retry_after_ns": int64(2e9), "retry_after": true, "peers": false, "probing": false},
		"profiles": []map[string]any{
			{"name": "grid-fetch", "worth": 1, "late_worth": 0.1, "objective_ns": 1_200_000_000, "give_up_ns": int64(9e9)},
			{"name": "shared-solve", "worth": 2, "late_worth": 0.25, "objective_ns": 1_500_000_000, "give_up_ns": int64(9e9)},
			{"name": "answer-check", "worth": 6, "late_worth": 0.1, "objective_ns": 1_000_000_000, "give_up_ns": int64(6e9)}},
		"rules": map[string]any{"answer_slack_ns": 20_000_000, "cold_from": 0.29, "cold_ns": int64(13e9), "drain_grace_ns": 250_000_000,
			"overload_factor": 2.5, "overload_for_ns": int64(3e9)},
	}
}

// writeConfig replaces the configuration file.
func (c *controller) writeConfig(known []entry, pos int, resolver string, memoryMB, sockets int) {
	hosts := []map[string]any{}
	for _, e := range known {
		hosts = append(hosts, map[string]any{"host": e.name, "dial": e.addr, "site": "almaty", "class": "basic-1core", "block": e.number,
			"health": e.health(), "share": 1, "born_ms": e.bornMs})
	}
	raw, err := json.Marshal(map[string]any{
		"name": c.name, "listen": c.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"resolver": resolver,
		"known": map[string]any{"pos": pos, "entries": []any{map[string]any{"pos": pos,
			"hosts": map[string]any{"seq": pos, "whole": true, "hosts": hosts}}}},
		"settings": settings(len(known)),
	})
	if err == nil {
		err = os.WriteFile(c.config+".new", raw, 0o644)
	}
	if err == nil {
		err = os.Rename(c.config+".new", c.config)
	}
	if err != nil {
		c.s.cannotRun("configuration: %v", err)
	}
}

// freeAddr returns a loopback address on which nothing listens.
func (s *scenario) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.cannotRun("free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *scenario) newController() *controller {
	return &controller{s: s, addr: s.freeAddr(), name: "n0", config: filepath.Join(s.dir, "config.json")}
}

// runLine returns the run line of the deploy file.
func (s *scenario) runLine() string {
	file, err := os.Open("deploy/balancer.toml")
	if err != nil {
		s.cannotRun("%v", err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), `run = "`); ok {
			line, _, _ := strings.Cut(rest, `"`)
			return line
		}
	}
	s.cannotRun("no run line in deploy/balancer.toml")
	return ""
}

// launch starts the process and waits until it passes a test.
func (c *controller) launch() {
	s := c.s
	tmp, err := os.MkdirTemp(s.dir, "tmp")
	if err != nil {
		s.cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		s.cannotRun("%v", err)
	}
	line := s.runLine()
	c.cmd = exec.Command("/bin/sh", "-c", line)
	c.cmd.Dir = s.root
	c.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+c.config, "ROUTER_LISTEN="+c.addr, "ROUTER_NAME="+c.name, "TMPDIR="+tmp)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		s.cannotRun("start the controller: %v", err)
	}
	log.Close()
	exited, cmd := make(chan struct{}), c.cmd
	c.exited, c.ending = exited, false
	go func() {
		err := cmd.Wait()
		s.note("the controller's process has ended: %v", err)
		if err != nil && !c.ending {
			s.note("controller's log:\n%s", c.logText())
		}
		close(exited)
	}()
	s.atEnd(func() {
		c.ending = true
		_ = cmd.Process.Kill() // it may have ended
		<-exited
	})
	s.note("started the controller: %s", line)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", c.addr); err == nil {
			ok := passesTest(conn)
			conn.Close()
			if ok {
				s.note("the controller has passed a test")
				return
			}
		}
		select {
		case <-exited:
			s.cannotRun("the controller ended at its start:\n%s", c.logText())
		default:
		}
		if time.Now().After(deadline) {
			s.cannotRun("the controller did not get ready")
		}
	}
}

func (c *controller) logText() string {
	raw, _ := os.ReadFile(filepath.Join(c.s.dir, "controller.log"))
	return string(raw)
}

// signal sends a signal to the process.
func (c *controller) signal(sig syscall.Signal) {
	c.s.note("the controller gets %v", sig)
	c.ending = true
	if err := c.cmd.Process.Signal(sig); err != nil {
		c.s.cannotRun("signal: %v", err)
	}
}

// residentKB returns the resident memory of the process, its peak included.
func (c *controller) residentKB() (now, peak int) {
	now, peak, _ = c.memoryKB()
	return now, peak
}

// memoryKB returns the resident memory, its peak and the part of it that is no file's.
func (c *controller) memoryKB() (now, peak, anonymous int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0, 0, 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d", &now)
		_, _ = fmt.Sscanf(line, "VmHWM: %d", &peak)
		_, _ = fmt.Sscanf(line, "RssAnon: %d", &anonymous)
	}
	return now, peak, anonymous
}
