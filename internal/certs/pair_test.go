package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.key, a.cert, a.pem = issue(t, nil, 1)
	return a
}

func issue(t *testing.T, by *authority, serial int64) (*ecdsa.PrivateKey, *x509.Certificate, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  by == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := c, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return key, cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// write issues a certificate with the serial number and writes it, its key and the
// authority's certificate to the files.
func (a *authority) write(t *testing.T, f Files, serial int64) {
	t.Helper()
	key, _, chain := issue(t, a, serial)
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(f.Certificate, chain, 0o600))
	assert.NilError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(f.Authority, a.pem, 0o600))
}

func newFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

// handshake connects a client to a server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "x")
		_ = c.Close()
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	// In TLS 1.3 a server's refusal is reported by the first read of the client.
	if _, err := io.ReadAll(c); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestBothEndsMustBeSignedByTheAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	f, g := newFiles(t), newFiles(t)
	ours.write(t, f, 2)
	theirs.write(t, g, 3)
	store, err := Open(f)
	assert.NilError(t, err)
	otherStore, err := Open(g)
	assert.NilError(t, err)

	serial, err := handshake(t, store.Server(), store.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))

	otherClient := otherStore.Client()
	otherClient.RootCAs = store.Client().RootCAs
	_, err = handshake(t, store.Server(), otherClient)
	assert.ErrorContains(t, err, "unknown certificate authority")
	_, err = handshake(t, store.Server(), &tls.Config{RootCAs: store.Client().RootCAs})
	assert.ErrorContains(t, err, "certificate required")
}

// An operator replaces the files of a running daemon, and the key is at first
// incomplete. The daemon must keep the old certificate until the new files are
// valid, and then use them without a restart.
func TestRotationSkipsBrokenFiles(t *testing.T) {
	a := newAuthority(t)
	f := newFiles(t)
	a.write(t, f, 2)
	store, err := Open(f)
	assert.NilError(t, err)

	recheckNow := func(touched time.Time) {
		assert.NilError(t, os.Chtimes(f.Key, touched, touched))
		store.checked = time.Time{}
	}
	assert.NilError(t, os.WriteFile(f.Key, []byte("-----BEGIN"), 0o600))
	recheckNow(time.Now().Add(time.Second))
	serial, err := handshake(t, store.Server(), store.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))

	a.write(t, f, 4)
	recheckNow(time.Now().Add(2 * time.Second))
	serial, err = handshake(t, store.Server(), store.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(4))
}

func TestOpenReportsMissingFiles(t *testing.T) {
	_, err := Open(newFiles(t))
	assert.ErrorContains(t, err, "no such file")
}
