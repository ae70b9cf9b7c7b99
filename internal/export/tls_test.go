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

// authority signs certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
	n    int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour * 1000), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
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

// issue makes a certificate with its key, in PEM.
func (a *authority) issue(until time.Time) (cert, key []byte) {
	a.n++
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(100 + a.n), Subject: pkix.Name{CommonName: "peer"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	kd, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kd})
}

type files struct{ ca, cert, key string }

func (f files) write(t *testing.T, ca, cert, key []byte) {
	t.Helper()
	for name, b := range map[string][]byte{f.ca: ca, f.cert: cert, f.key: key} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func in(dir string) files {
	return files{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
}

// secure is a collector that asks for a certificate of an authority.
func secure(t *testing.T, a *authority) (*collect.Collector, net.Listener, *sync.WaitGroup) {
	t.Helper()
	certPEM, keyPEM := a.issue(time.Now().Add(time.Hour))
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13})
	if err != nil {
		t.Fatal(err)
	}
	c, err := collect.New("")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.Serve(ln) })
	return c, ln, &wg
}

func TestMutualCertificates(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	good, goodKey := a.issue(time.Now().Add(time.Hour))
	old, oldKey := a.issue(time.Now().Add(-time.Hour))
	foreign, foreignKey := other.issue(time.Now().Add(time.Hour))
	for _, c := range []struct {
		name          string
		ca, cert, key []byte
		works         bool
	}{
		{"good", a.pem, good, goodKey, true},
		{"expired", a.pem, old, oldKey, false},
		{"of another authority", a.pem, foreign, foreignKey, false},
		{"collector of another authority", other.pem, good, goodKey, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			col, ln, wg := secure(t, a)
			f := in(t.TempDir())
			f.write(t, c.ca, c.cert, c.key)
			var log bytes.Buffer
			d, err := NewTLS(f.ca, f.cert, f.key, "", slog.New(slog.NewTextHandler(&log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			dial := func(ctx context.Context, c Collector) (net.Conn, error) { return d.Dial(ctx, &net.Dialer{}, c.Address) }
			p := start(t, Config{Collectors: []Collector{{Address: ln.Addr().String(), Transport: "tls"}}, Dial: dial, ShutdownTimeout: time.Second}, nil)
			p.calls(200, 300*time.Millisecond)
			p.end(t)
			ln.Close()
			wg.Wait()
			r := col.Report()
			if err := col.Close(); err != nil {
				t.Error(err)
			}
			if c.works {
				exact(t, r)
				if !strings.Contains(log.String(), "ends soon") {
					t.Error("an hour to its end, and no warning")
				}
			} else if r.Received+r.OrphanRecords > 0 {
				t.Errorf("%+v", r)
			}
		})
	}
}

// Certificates are swapped under load: the next connection has the new ones; a
// swap to rubbish leaves the old ones in force.
func TestSwapUnderLoad(t *testing.T) {
	a := newAuthority(t)
	col, ln, wg := secure(t, a)
	f := in(t.TempDir())
	cert, key := a.issue(time.Now().Add(1000 * time.Hour))
	f.write(t, a.pem, cert, key)
	var log bytes.Buffer
	d, err := NewTLS(f.ca, f.cert, f.key, "127.0.0.1", slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	serials := map[string]bool{}
	dial := func(ctx context.Context, c Collector) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		nc, err := d.Dial(ctx, &net.Dialer{}, c.Address)
		serials[d.config.Certificates[0].Leaf.SerialNumber.String()] = true
		return nc, err
	}
	p := start(t, Config{Collectors: []Collector{{Address: ln.Addr().String(), Transport: "tls"}}, Dial: dial}, nil)
	p.calls(300, 400*time.Millisecond)
	cert, key = a.issue(time.Now().Add(1000 * time.Hour))
	later := time.Now().Add(2 * time.Second)
	f.write(t, a.pem, cert, key)
	for _, name := range []string{f.ca, f.cert, f.key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	p.calls(300, 600*time.Millisecond)
	f.write(t, a.pem, []byte("rubbish"), key)
	p.calls(300, 600*time.Millisecond)
	p.end(t)
	ln.Close()
	wg.Wait()
	r := col.Report()
	if err := col.Close(); err != nil {
		t.Error(err)
	}
	exact(t, r)
	mu.Lock()
	defer mu.Unlock()
	if len(serials) != 2 || !strings.Contains(log.String(), "can't be used") {
		t.Errorf("certificates used: %v\n%s", serials, log.String())
	}
}

func TestFilesThatAreWrongAreNamed(t *testing.T) {
	a := newAuthority(t)
	cert, key := a.issue(time.Now().Add(time.Hour))
	f := in(t.TempDir())
	if _, err := NewTLS(f.ca, f.cert, f.key, "", nil); err == nil || !strings.Contains(err.Error(), "ca.pem") {
		t.Error(err)
	}
	f.write(t, []byte("x"), cert, key)
	if _, err := NewTLS(f.ca, f.cert, f.key, "", nil); err == nil || !strings.Contains(err.Error(), "ca.pem") {
		t.Error(err)
	}
	f.write(t, a.pem, cert, []byte("x"))
	if _, err := NewTLS(f.ca, f.cert, f.key, "", nil); err == nil || !strings.Contains(err.Error(), "key.pem") {
		t.Error(err)
	}
}
