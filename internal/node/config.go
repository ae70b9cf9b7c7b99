// Package node is a controller on the platform: configuration, listener, callers' connections,
// connections to exchanges, resolver, signals, and the budget of descriptors and memory. It
// decides nothing about a call: that is the module's, which the core in interwork feeds.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/internal/wire"
)

// Names of the variables that tell a controller where it is.
const (
	EnvConfig = "ROUTER_CONFIG"
	EnvListen = "ROUTER_LISTEN"
	EnvName   = "ROUTER_NAME"
)

// Config is what the platform tells.
type Config struct {
	Name, ListenAddr, ResolverAddr string
	MaxDescriptors                 int   // descriptors
	MemoryBytes                    int64 // bytes
	ModuleSettings                 brain.Settings
	ConnectTimeout, IdleTimeout    time.Duration // bounds of a connection's making and of its rest
	ExchangeList                   *srvlist.List
}

// ReadConfig reads the file that the variables name. The error is one line that names the place.
func ReadConfig(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, errors.New(EnvConfig + " is not set: it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvConfig, err)
	}
	c, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if v := env(EnvListen); v != "" {
		if _, _, err := net.SplitHostPort(v); err != nil {
			return nil, fmt.Errorf("%s: %w", EnvListen, err)
		}
		c.ListenAddr = v
	}
	if v := env(EnvName); v != "" {
		c.Name = v
	}
	return c, nil
}

func parse(raw []byte) (*Config, error) {
	var f struct {
		Name, Listen, Seed, Resolver string
		Limits                       struct {
			Memory  int64 `json:"memory_mb"`
			Sockets int
		}
		Known    json.RawMessage
		Settings *wire.Settings
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	if f.Settings == nil {
		return nil, errors.New("settings are missing")
	}
	for _, a := range []struct{ name, addr string }{{"listen", f.Listen}, {"resolver", f.Resolver}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if f.Limits.Sockets < 64 || f.Limits.Memory < 16 {
		return nil, fmt.Errorf("limits: %d sockets and %d MB: at least 64 and 16 are needed", f.Limits.Sockets, f.Limits.Memory)
	}
	c := &Config{Name: f.Name, ListenAddr: f.Listen, ResolverAddr: f.Resolver, MaxDescriptors: f.Limits.Sockets,
		MemoryBytes: f.Limits.Memory << 20, ConnectTimeout: time.Duration(f.Settings.Limits.ConnectTimeout), IdleTimeout: time.Duration(f.Settings.Limits.IdleTimeout)}
	if c.ModuleSettings, err = f.Settings.Module(seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.ConnectTimeout <= 0 {
		return nil, errors.New("settings: connect_timeout_ns is missing")
	}
	if len(f.Known) == 0 {
		return nil, errors.New("known is missing")
	}
	c.ExchangeList, err = srvlist.ParseKnown(f.Known)
	return c, err
}
