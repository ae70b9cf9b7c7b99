// Package node runs a controller on the platform. It owns the configuration, the
// listener, the callers' connections, the connections to exchanges, the resolver
// client, signal handling and the limits on descriptors and memory. Decisions
// about calls are made by the routing module, which package interwork drives.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"dahliaspindle/internal/srvlist"
	"dahliaspindle/internal/wire"
	"dahliaspindle/routing"
)

// Environment variables that locate and override the configuration.
const (
	EnvConfig = "ROUTER_CONFIG" // path of the configuration file
	EnvListen = "ROUTER_LISTEN" // overrides the listen address
	EnvName   = "ROUTER_NAME"   // overrides the name
)

// Config is the configuration that the platform provides.
type Config struct {
	Name, ListenAddr, ResolverAddr string
	MaxDescriptors                 int // open file descriptors, sockets included
	MemoryBytes                    int64
	ModuleSettings                 routing.Settings
	ConnectTimeout, IdleTimeout    time.Duration // of connections to exchanges: for opening one, and until an unused one is closed
	ExchangeList                   *srvlist.List // the list known at the start
}

// ReadConfig reads the file that EnvConfig names and applies the other
// variables. The error is a single line that names the invalid setting.
func ReadConfig(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, errors.New(EnvConfig + " is not set: it must name the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvConfig, err)
	}
	cfg, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if addr := env(EnvListen); addr != "" {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", EnvListen, err)
		}
		cfg.ListenAddr = addr
	}
	if name := env(EnvName); name != "" {
		cfg.Name = name
	}
	return cfg, nil
}

func parseConfig(raw []byte) (*Config, error) {
	var file struct {
		Name, Listen, Seed, Resolver string
		Limits                       struct {
			Memory  int64 `json:"memory_mb"`
			Sockets int
		}
		Known    json.RawMessage
		Settings *wire.Settings
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	if file.Settings == nil {
		return nil, errors.New("settings are missing")
	}
	for _, address := range []struct{ setting, addr string }{{"listen", file.Listen}, {"resolver", file.Resolver}} {
		if _, _, err := net.SplitHostPort(address.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", address.setting, err)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if file.Limits.Sockets < 64 || file.Limits.Memory < 16 {
		return nil, fmt.Errorf("limits: %d sockets and %d MB are too low, the minimum is 64 sockets and 16 MB", file.Limits.Sockets, file.Limits.Memory)
	}
	cfg := &Config{
		Name:           file.Name,
		ListenAddr:     file.Listen,
		ResolverAddr:   file.Resolver,
		MaxDescriptors: file.Limits.Sockets,
		MemoryBytes:    file.Limits.Memory << 20,
		ConnectTimeout: time.Duration(file.Settings.Limits.ConnectTimeout),
		IdleTimeout:    time.Duration(file.Settings.Limits.IdleTimeout),
	}
	if cfg.ModuleSettings, err = file.Settings.Module(seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.ConnectTimeout <= 0 {
		return nil, errors.New("settings: connect_timeout_ns is missing")
	}
	if len(file.Known) == 0 {
		return nil, errors.New("known is missing")
	}
	cfg.ExchangeList, err = srvlist.ParseKnown(file.Known, time.Now())
	return cfg, err
}
