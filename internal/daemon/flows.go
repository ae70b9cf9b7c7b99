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

// NewExporter returns the flow exporter that the settings describe.
func NewExporter(set *settings.Controller, log *slog.Logger) (*export.Exporter, error) {
	flows := &set.Flows
	key, err := numberHashKey(flows.KeyFile)
	if err != nil {
		return nil, err
	}
	config := export.Config{
		Copies:   flows.Mode == "copies",
		Ring:     flows.RingCapacity,
		Queue:    flows.QueueCapacity,
		Replay:   flows.ReplayRate,
		Interval: flows.SummaryInterval,
		Confirm:  flows.ConfirmAfter,
		Log:      log,
		Now:      func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
	var classes []string
	for _, class := range set.Classes {
		classes = append(classes, class.Name)
		config.Shed.Worth = append(config.Shed.Worth, class.Worth)
	}
	dialers := map[string]*export.TLS{}
	for _, collector := range flows.Collectors {
		protocol := ipfix.IPFIX
		if collector.Protocol == "netflow9" {
			protocol = ipfix.NetFlow9
		}
		config.Collectors = append(config.Collectors, export.Collector{
			Address:   collector.Address,
			Transport: collector.Transport,
			Protocol:  protocol,
			MTU:       collector.MTU,
		})
		if collector.Transport == "tls" {
			if dialers[collector.Address], err = export.NewTLS(collector.CA, collector.Cert, collector.Key, collector.ServerName, log); err != nil {
				return nil, fmt.Errorf("flows: collector %s: %w", collector.Address, err)
			}
		}
	}
	dialer := net.Dialer{Timeout: set.Peers.DialTimeout}
	config.Dial = func(ctx context.Context, collector export.Collector) (net.Conn, error) {
		if tlsDialer := dialers[collector.Address]; tlsDialer != nil {
			return tlsDialer.Dial(ctx, &dialer, collector.Address)
		}
		network := "tcp"
		if collector.Transport == "udp" {
			network = "udp"
		}
		return dialer.DialContext(ctx, network, collector.Address)
	}
	codec := flow.NewCodec(uint32(set.Number), uint64(time.Now().UnixMilli()), classes, key)
	if flows.SpoolDirectory != "" {
		spoolCount := 1
		if config.Copies {
			spoolCount = len(flows.Collectors)
		}
		for i := range spoolCount {
			dir, err := spool.MakeDir(filepath.Join(flows.SpoolDirectory, fmt.Sprint("lane-", i)))
			if err != nil {
				return nil, err
			}
			opened, err := spool.Open(dir, spool.Config{
				Most:    flows.MaxSpoolBytes,
				Segment: min(max(flows.MaxSpoolBytes/16, 64<<10), 8<<20),
				Age:     flows.MaxSpoolAge,
				Sync:    time.Second,
			}, codec)
			if err != nil {
				return nil, err
			}
			if status := opened.Status(); status.Torn+status.Strange > 0 {
				log.Warn("flow export: spool repaired", "torn", status.Torn, "set aside", status.Strange)
			}
			config.Spools = append(config.Spools, opened)
		}
	}
	return export.New(config, codec)
}

// numberHashKey reads the key for the hashes of called numbers from a file. Without a
// path it generates a key that lasts as long as the process.
func numberHashKey(path string) ([]byte, error) {
	if path == "" {
		key := make([]byte, 32)
		if _, err := rand.Read(key); err != nil {
			return nil, fmt.Errorf("flows: generating the number hash key: %w", err)
		}
		return key, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("flows: reading the number hash key: %w", err)
	}
	if len(key) < 16 {
		return nil, errors.New("flows: the number hash key in " + path + " is shorter than 16 bytes")
	}
	return key, nil
}
