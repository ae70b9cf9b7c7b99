package export

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliaspindle/internal/collect"
)

// authority is a certificate authority.
type authority struct {
	t      *testing.T
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	pem    []byte
	issued int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour * 1000), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// issue returns a new certificate and its key, in PEM.
func (a *authority) issue(notAfter time.Time) (cert, key []byte) {
	a.issued++
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(100 + a.issued), Subject: pkix.Name{CommonName: "peer"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}

// certFiles holds the file names of an authority's certificate, a certificate and
// its key.
type certFiles struct{ ca, cert, key string }

func (f certFiles) write(t *testing.T, ca, cert, key []byte) {
	t.Helper()
	for name, content := range map[string][]byte{f.ca: ca, f.cert: cert, f.key: key} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func certFilesIn(dir string) certFiles {
	return certFiles{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
}

// startTLSCollector starts a collector that requires client certificates of ca.
func startTLSCollector(t *testing.T, ca *authority) (*collect.Collector, net.Listener, *sync.WaitGroup) {
	t.Helper()
	certPEM, keyPEM := ca.issue(time.Now().Add(time.Hour))
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13})
	if err != nil {
		t.Fatal(err)
	}
	collector, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { collector.Serve(listener) })
	return collector, listener, &wg
}

func TestMutualCertificates(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	valid, validKey := ca.issue(time.Now().Add(time.Hour))
	expired, expiredKey := ca.issue(time.Now().Add(-time.Hour))
	foreign, foreignKey := otherCA.issue(time.Now().Add(time.Hour))
	for _, test := range []struct {
		name          string
		ca, cert, key []byte
		works         bool
	}{
		{"valid", ca.pem, valid, validKey, true},
		{"expired", ca.pem, expired, expiredKey, false},
		{"issued by another authority", ca.pem, foreign, foreignKey, false},
		{"collector certified by another authority", otherCA.pem, valid, validKey, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			collector, listener, wg := startTLSCollector(t, ca)
			files := certFilesIn(t.TempDir())
			files.write(t, test.ca, test.cert, test.key)
			var log bytes.Buffer
			dialer, err := NewTLS(files.ca, files.cert, files.key, "", slog.New(slog.NewTextHandler(&log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			dial := func(ctx context.Context, collector Collector) (net.Conn, error) {
				return dialer.Dial(ctx, &net.Dialer{}, collector.Address)
			}
			process := startProcess(t, Config{
				Collectors:      []Collector{{Address: listener.Addr().String(), Transport: "tls"}},
				Dial:            dial,
				ShutdownTimeout: time.Second,
			}, nil)
			process.putCalls(200, 300*time.Millisecond)
			process.shutDown(t)
			listener.Close()
			wg.Wait()
			report := collector.Report()
			if err := collector.Close(); err != nil {
				t.Error(err)
			}
			if test.works {
				checkAccountedFor(t, report)
				if !strings.Contains(log.String(), "ends soon") {
					t.Error("no warning about a certificate that expires in an hour")
				}
			} else if report.Received+report.OrphanRecords > 0 {
				t.Errorf("records received despite invalid certificates: %+v", report)
			}
		})
	}
}

// When certificates are replaced under load, the next connection uses the new ones.
// When they are replaced by an invalid file, the old ones stay in use.
func TestCertificateReplacementUnderLoad(t *testing.T) {
	ca := newAuthority(t)
	collector, listener, wg := startTLSCollector(t, ca)
	files := certFilesIn(t.TempDir())
	cert, key := ca.issue(time.Now().Add(1000 * time.Hour))
	files.write(t, ca.pem, cert, key)
	var log bytes.Buffer
	dialer, err := NewTLS(files.ca, files.cert, files.key, "127.0.0.1", slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	serials := map[string]bool{}
	dial := func(ctx context.Context, collector Collector) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		conn, err := dialer.Dial(ctx, &net.Dialer{}, collector.Address)
		serials[dialer.config.Certificates[0].Leaf.SerialNumber.String()] = true
		return conn, err
	}
	process := startProcess(t, Config{Collectors: []Collector{{Address: listener.Addr().String(), Transport: "tls"}}, Dial: dial}, nil)
	process.putCalls(300, 400*time.Millisecond)
	cert, key = ca.issue(time.Now().Add(1000 * time.Hour))
	later := time.Now().Add(2 * time.Second)
	files.write(t, ca.pem, cert, key)
	for _, name := range []string{files.ca, files.cert, files.key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	process.putCalls(300, 600*time.Millisecond)
	files.write(t, ca.pem, []byte("invalid"), key)
	process.putCalls(300, 600*time.Millisecond)
	process.shutDown(t)
	listener.Close()
	wg.Wait()
	report := collector.Report()
	if err := collector.Close(); err != nil {
		t.Error(err)
	}
	checkAccountedFor(t, report)
	mu.Lock()
	defer mu.Unlock()
	if len(serials) != 2 || !strings.Contains(log.String(), "can't be used") {
		t.Errorf("serial numbers of the certificates used: %v; log:\n%s", serials, log.String())
	}
}

func TestErrorNamesInvalidFile(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(time.Now().Add(time.Hour))
	files := certFilesIn(t.TempDir())
	if _, err := NewTLS(files.ca, files.cert, files.key, "", nil); err == nil || !strings.Contains(err.Error(), "ca.pem") {
		t.Error(err)
	}
	files.write(t, []byte("x"), cert, key)
	if _, err := NewTLS(files.ca, files.cert, files.key, "", nil); err == nil || !strings.Contains(err.Error(), "ca.pem") {
		t.Error(err)
	}
	files.write(t, ca.pem, cert, []byte("x"))
	if _, err := NewTLS(files.ca, files.cert, files.key, "", nil); err == nil || !strings.Contains(err.Error(), "key.pem") {
		t.Error(err)
	}
}
