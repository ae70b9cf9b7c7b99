package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"dahliaspindle/internal/export"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/spool"
)

// NewExporter makes the exporting process that the settings ask for.
func NewExporter(set *settings.Controller, log *slog.Logger) (*export.Exporter, error) {
	f := &set.Flows
	key, err := hashKey(f.KeyFile)
	if err != nil {
		return nil, err
	}
	cfg := export.Config{Copies: f.Mode == "copies", Ring: f.RingCapacity, Queue: f.QueueCapacity, Replay: f.ReplayRate, Interval: f.SummaryInterval,
		Confirm: f.ConfirmAfter, Log: log, Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	var classes []string
	for _, c := range set.Classes {
		classes = append(classes, c.Name)
		cfg.Shed.Worth = append(cfg.Shed.Worth, c.Worth)
	}
	dialers := map[string]*export.TLS{}
	for _, c := range f.Collectors {
		p := ipfix.IPFIX
		if c.Protocol == "netflow9" {
			p = ipfix.NetFlow9
		}
		cfg.Collectors = append(cfg.Collectors, export.Collector{Address: c.Address, Transport: c.Transport, Protocol: p, MTU: c.MTU})
		if c.Transport == "tls" {
			if dialers[c.Address], err = export.NewTLS(c.CA, c.Cert, c.Key, c.ServerName, log); err != nil {
				return nil, fmt.Errorf("flows: collector %s: %w", c.Address, err)
			}
		}
	}
	dialer := net.Dialer{Timeout: set.Peers.DialTimeout}
	cfg.Dial = func(ctx context.Context, c export.Collector) (net.Conn, error) {
		if t := dialers[c.Address]; t != nil {
			return t.Dial(ctx, &dialer, c.Address)
		}
		network := "tcp"
		if c.Transport == "udp" {
			network = "udp"
		}
		return dialer.DialContext(ctx, network, c.Address)
	}
	codec := flow.NewCodec(uint32(set.Number), uint64(time.Now().UnixMilli()), classes, key)
	if f.SpoolDirectory != "" {
		lanes := 1
		if cfg.Copies {
			lanes = len(f.Collectors)
		}
		for i := range lanes {
			dir, err := spool.MakeDir(filepath.Join(f.SpoolDirectory, fmt.Sprint("lane-", i)))
			if err != nil {
				return nil, err
			}
			s, err := spool.Open(dir, spool.Config{Most: f.MaxSpoolBytes, Segment: min(max(f.MaxSpoolBytes/16, 64<<10), 8<<20),
				Age: f.MaxSpoolAge, Sync: time.Second}, codec)
			if err != nil {
				return nil, err
			}
			if st := s.Status(); st.Torn+st.Strange > 0 {
				log.Warn("flow export: the spool was mended", "torn", st.Torn, "set aside", st.Strange)
			}
			cfg.Spools = append(cfg.Spools, s)
		}
	}
	return export.New(cfg, codec)
}

// hashKey reads the key that called numbers are hashed with, or makes one for this life.
func hashKey(path string) ([]byte, error) {
	if path == "" {
		key := make([]byte, 32)
		if _, err := rand.Read(key); err != nil {
			return nil, fmt.Errorf("flows: a key: %w", err)
		}
		return key, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("flows: the key of the numbers: %w", err)
	}
	if len(key) < 16 {
		return nil, errors.New("flows: the key of the numbers: " + path + " holds under 16 bytes")
	}
	return key, nil
}
