package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// controller is the program of the deploy file's run line, as a process of its own.
type controller struct {
	rec    *recorder
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	listen string
	config string
	dir    string
	number int // of its exchange
	of     int // exchanges
}

// freeAddr returns an address that was free a moment ago.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// settings are those of a small deployment of dala-puzzle-net: 6 exchanges, each with its controller. They
// follow the example in the wire page; work and times are not scaled.
const settings = `{"balancers":6,"me":0,"quantum_ns":5000000,"family":"trunks","client_habits":{"marks_retry":true},
"domain":{"call_length_ns":[10000000000,16000000000,5000000000],"circuits_by_class":[1,2,1],"far_state":"off","gives_wait":true,
 "pools_by_class":[],"release_ns":300000000,"route_advice":false,"self_no":0,"shape":"network","t1_ns":0},
"policy_limits":{"attempts_cap":6,"cancelling":true,"conn_idle_ns":600000000000,"connect_timeout_ns":500000000,"cpu_us_per_s":300000,
 "max_open":20000,"max_retry_after_ns":2000000000,"may_duplicate":false,"peers":false,"probing":false,"retry_after":true,"streams_per_conn":1048576},
"profiles":[{"effect":"free","give_up_ns":9000000000,"group":"all","late_worth":0.1,"name":"grid-fetch","objective_ns":1200000000,"streaming":true,"window_ns":5000000000,"worth":1},
 {"effect":"free","give_up_ns":9000000000,"group":"all","late_worth":0.25,"name":"shared-solve","objective_ns":1500000000,"streaming":true,"window_ns":5000000000,"worth":2},
 {"effect":"free","give_up_ns":6000000000,"group":"all","late_worth":0.1,"name":"answer-check","objective_ns":1000000000,"streaming":true,"window_ns":5000000000,"worth":6}],
"realms":[],"report":{"columns":["idle","circuits"],"via":"on_probe"},
"rules":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.29,"cold_ns":13000000000,"drain_grace_ns":250000000,"overload_factor":2.5,"overload_for_ns":3000000000},
"tier":0,"tiers":["puzzle-exchanges"],"weights":"off","zone":"almaty","zones":["almaty","astana"]}`

const (
	memoryMB = 64  // as in deploy/platform-example.json
	sockets  = 256 // the least of the scored days
)

// writeConfig writes the configuration file of the platform.
func (c *controller) writeConfig(resolverAddr string, known []listEntry) error {
	hosts := []map[string]any{}
	for _, e := range known {
		health := "active"
		if e.draining {
			health = "leaving"
		}
		hosts = append(hosts, map[string]any{"host": e.name, "dial": e.addr.String(), "site": "east", "class": "std", "block": e.cell,
			"health": health, "share": 4, "born_ms": e.bornMS})
	}
	raw, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", c.number), "listen": c.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"resolver": resolverAddr,
		"known":    map[string]any{"pos": 1, "entries": []any{map[string]any{"pos": 1, "hosts": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": json.RawMessage(strings.NewReplacer(`"balancers":6`, fmt.Sprintf(`"balancers":%d`, c.of), `"me":0`, fmt.Sprintf(`"me":%d`, c.number),
			`"self_no":0`, fmt.Sprintf(`"self_no":%d`, c.number)).Replace(settings))}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.config, raw, 0o600)
}

// startController starts the run line of deploy/balancer.toml by /bin/sh -c from the root of the repository.
func startController(rec *recorder, dir, resolverAddr string, known []listEntry, number, of int) (*controller, error) {
	c := &controller{rec: rec, dir: dir, number: number, of: of, config: filepath.Join(dir, "config.json"), exited: make(chan struct{})}
	var err error
	if c.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	if err := c.writeConfig(resolverAddr, known); err != nil {
		return nil, err
	}
	return c, c.start()
}

func (c *controller) start() error {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if match == nil {
		return fmt.Errorf("deploy/balancer.toml has no run line")
	}
	log, err := os.OpenFile(filepath.Join(c.dir, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	c.cmd.Env = append(os.Environ(), fmt.Sprintf("ROUTER_NAME=n%d", c.number), "ROUTER_LISTEN="+c.listen, "ROUTER_CONFIG="+c.config, "TMPDIR="+c.dir)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	c.exited = make(chan struct{})
	exited := c.exited
	go func() {
		c.err = c.cmd.Wait()
		log.Close()
		close(exited)
	}()
	c.rec.logf("controller started: %s, process %d, listening at %s", match[1], c.cmd.Process.Pid, c.listen)
	return nil
}

// waitReady waits until the controller passes a test.
func (c *controller) waitReady(cs *callers) error {
	var err error
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = cs.test(); err == nil {
			c.rec.logf("controller passes a test")
			return nil
		}
		if c.hasExited() {
			return fmt.Errorf("the controller has ended: %v", c.err)
		}
	}
	return fmt.Errorf("the controller passed no test within 10 s: %w", err)
}

func (c *controller) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// stop ends the process with SIGTERM and, after 5 s, SIGKILL.
func (c *controller) stop() {
	if c.cmd == nil || c.cmd.Process == nil {
		return
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(5 * time.Second):
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
	if log, err := os.ReadFile(filepath.Join(c.dir, "controller.log")); err == nil {
		c.rec.mu.Lock()
		fmt.Fprintf(c.rec.w, "\nlog of the controller:\n%s", log)
		c.rec.mu.Unlock()
	}
}
