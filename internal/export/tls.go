package export

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// expiryWarningPeriod is the remaining validity of a certificate below which a warning is
// logged.
const expiryWarningPeriod = 14 * 24 * time.Hour

// TLS dials TLS 1.3 connections with mutual authentication. It reads the certificate
// files again when they change: new files take effect at the next connection. If the
// new files can't be used, the old certificates stay in use.
type TLS struct {
	caFile, certFile, keyFile, serverName string
	log                                   *slog.Logger

	mu             sync.Mutex
	config         *tls.Config
	modTimes       [3]time.Time // of the files in config
	expiryWarnedAt time.Time
}

// NewTLS reads the files. The error names the file that can't be used.
func NewTLS(caFile, certFile, keyFile, serverName string, log *slog.Logger) (*TLS, error) {
	t := &TLS{caFile: caFile, certFile: certFile, keyFile: keyFile, serverName: serverName, log: log}
	return t, t.reload()
}

// filesChanged returns the modification times of the files, and whether they differ
// from those of the files in use.
func (t *TLS) filesChanged() (modTimes [3]time.Time, changed bool, err error) {
	for i, file := range []string{t.caFile, t.certFile, t.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return modTimes, false, fmt.Errorf("tls: %w", err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, modTimes != t.modTimes, nil
}

// reload reads the files if they have changed.
func (t *TLS) reload() error {
	modTimes, changed, err := t.filesChanged()
	if err != nil || !changed {
		return err
	}
	pem, err := os.ReadFile(t.caFile)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("tls: %s contains no certificate", t.caFile)
	}
	cert, err := tls.LoadX509KeyPair(t.certFile, t.keyFile)
	if err != nil {
		return fmt.Errorf("tls: %s, %s: %w", t.certFile, t.keyFile, err)
	}
	t.config = &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13, ServerName: t.serverName}
	t.modTimes = modTimes
	return nil
}

// Dial connects with the current certificates.
func (t *TLS) Dial(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	t.mu.Lock()
	if err := t.reload(); err != nil {
		t.log.Warn("flow export: the new certificates can't be used; the old ones stay in use", "error", err)
	}
	config := t.config
	if leaf := config.Certificates[0].Leaf; leaf != nil {
		now := time.Now()
		if remaining := leaf.NotAfter.Sub(now); remaining < expiryWarningPeriod && now.Sub(t.expiryWarnedAt) > time.Hour {
			t.expiryWarnedAt = now
			t.log.Warn("flow export: the certificate ends soon", "file", t.certFile, "left", remaining.Round(time.Minute))
		}
	}
	t.mu.Unlock()
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tlsConn := tls.Client(conn, config)
	handshakeCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
		return nil, errors.Join(fmt.Errorf("tls with %s: %w", addr, err), conn.Close())
	}
	return tlsConn, nil
}
