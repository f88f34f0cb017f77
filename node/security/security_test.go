package security_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
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

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"caperdrum.org/node/security"
)

// authority is a CA or a certificate with its key.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

var serial int64

func sign(parent *authority, isCA bool) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	serial++
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: isCA, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}}
	signer, signerKey := tmpl, key
	if parent != nil {
		signer, signerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, signer, &key.PublicKey, signerKey)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{cert, key, der}
}

func writePEM(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// files writes a certificate signed by ca and a CA file with trusted.
func files(dir string, ca, trusted *authority) security.Files {
	f := security.Files{CA: filepath.Join(dir, "ca"), Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	leaf := sign(ca, false)
	keyDER, err := x509.MarshalECPrivateKey(leaf.key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(f.CA, "CERTIFICATE", trusted.der)
	writePEM(f.Certificate, "CERTIFICATE", leaf.der)
	writePEM(f.Key, "EC PRIVATE KEY", keyDER)
	return f
}

func store(f security.Files) *security.Store {
	s, err := security.New(f)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// echo returns one byte to every connection and closes it.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			io.Copy(c, io.LimitReader(c, 1))
		}()
	}
}

// exchangeLimit ends an exchange with a server that waits for a handshake.
const exchangeLimit = 2 * time.Second

func exchange(s *security.Store, address string) error {
	c, err := s.Dial(context.Background(), address)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(exchangeLimit))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func TestPeers(t *testing.T) {
	RegisterTestingT(t)
	ca, otherCA := sign(nil, true), sign(nil, true)
	server := store(files(t.TempDir(), ca, ca))
	l, err := server.Listen("127.0.0.1:0", security.Peers)
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go echo(l)
	address := l.Addr().String()

	Expect(exchange(store(files(t.TempDir(), ca, ca)), address)).To(Succeed())
	Expect(exchange(store(files(t.TempDir(), otherCA, ca)), address)).NotTo(Succeed(), "certificate of another CA")
	Expect(exchange(store(files(t.TempDir(), ca, otherCA)), address)).NotTo(Succeed(), "server certificate of an untrusted CA")
	var plain *security.Store
	Expect(exchange(plain, address)).NotTo(Succeed(), "plain text")
}

func TestReload(t *testing.T) {
	RegisterTestingT(t)
	old, next := sign(nil, true), sign(nil, true)
	dir := t.TempDir()
	server := store(files(dir, old, old))
	l, err := server.Listen("127.0.0.1:0", security.Peers)
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go echo(l)
	client := store(files(t.TempDir(), next, next))
	Expect(exchange(client, l.Addr().String())).NotTo(Succeed())

	// A file that can't be loaded leaves the old certificates in use.
	Expect(os.WriteFile(filepath.Join(dir, "cert"), []byte("half"), 0o600)).To(Succeed())
	Eventually(func() error { return exchange(store(files(t.TempDir(), old, old)), l.Addr().String()) }, "10s").Should(Succeed())
	files(dir, next, next)
	Eventually(func() error { return exchange(client, l.Addr().String()) }, "30s", "100ms").Should(Succeed())
}

func TestUnreadableFileIsReported(t *testing.T) {
	RegisterTestingT(t)
	_, err := security.New(security.Files{CA: filepath.Join(t.TempDir(), "none")})
	Expect(errors.Is(err, security.ErrUnreadable)).To(BeTrue(), err.Error())
}
