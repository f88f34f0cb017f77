// Package security encrypts the listeners and connections of the process: mutual TLS between caperdrum's
// processes, TLS for callers and administrators. Certificate files are reloaded when they change, so renewing
// them needs no restart. Plain text is for loopback addresses only.
package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Files are the paths of PEM files. CallerCertificate and CallerKey default to Certificate and Key.
type Files struct {
	CA                string // CA that signs the certificates of all processes
	Certificate       string // of this process, both as client and as server; must contain its IP addresses
	Key               string
	CallerCertificate string
	CallerKey         string
}

// Purpose says who may connect to a listener.
type Purpose int

// Purposes of a listener.
const (
	Peers   Purpose = iota // caperdrum's own processes; client certificates are required
	Callers                // callers and administrators
)

const (
	reloadInterval   = time.Second // minimum time between checks for changed files
	handshakeTimeout = 5 * time.Second
	dialTimeout      = time.Second
)

// ErrUnreadable says that certificate files can't be loaded.
var ErrUnreadable = errors.New("security: certificate files")

// Store holds the current certificates. A nil Store means plain text.
type Store struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [5]time.Time // modification times of the loaded files
	current   *credentials
}

type credentials struct {
	pool   *x509.CertPool
	peer   tls.Certificate
	caller tls.Certificate
}

// New loads the files. Without a CA it returns nil, which means plain text.
func New(f Files) (*Store, error) {
	if f.CA == "" {
		return nil, nil
	}
	if f.CallerCertificate == "" {
		f.CallerCertificate, f.CallerKey = f.Certificate, f.Key
	}
	s := &Store{files: f}
	m, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current, s.modTimes, s.lastCheck = m, s.readModTimes(), time.Now()
	return s, nil
}

func (s *Store) load() (*credentials, error) {
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "%v", err)
	}
	m := &credentials{pool: x509.NewCertPool()}
	if !m.pool.AppendCertsFromPEM(ca) {
		return nil, errors.Annotatef(ErrUnreadable, "%s holds no certificate", s.files.CA)
	}
	if m.peer, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key); err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "%s: %v", s.files.Certificate, err)
	}
	if m.caller, err = tls.LoadX509KeyPair(s.files.CallerCertificate, s.files.CallerKey); err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "%s: %v", s.files.CallerCertificate, err)
	}
	return m, nil
}

func (s *Store) readModTimes() [5]time.Time {
	var out [5]time.Time
	for i, name := range []string{s.files.CA, s.files.Certificate, s.files.Key, s.files.CallerCertificate, s.files.CallerKey} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// currentCredentials returns the current certificates, reloading changed files. If changed files can't be
// loaded, for example because the key of a new certificate is not written yet, the old certificates stay in
// use.
func (s *Store) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < reloadInterval {
		return s.current
	}
	s.lastCheck = time.Now()
	stamp := s.readModTimes()
	if stamp == s.modTimes {
		return s.current
	}
	if m, err := s.load(); err == nil {
		s.current, s.modTimes = m, stamp
	}
	return s.current
}

// Listen opens a TCP listener with the encryption for the purpose.
func (s *Store) Listen(address string, p Purpose) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return s.Encrypt(p)(l), nil
}

// Encrypt returns a function that adds the encryption for the purpose to a listener.
func (s *Store) Encrypt(p Purpose) func(net.Listener) net.Listener {
	return func(l net.Listener) net.Listener {
		if s == nil {
			return l
		}
		return tls.NewListener(l, s.serverConfig(p))
	}
}

func (s *Store) serverConfig(p Purpose) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.currentCredentials()
		if p == Callers {
			return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.caller}}, nil
		}
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.peer},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.pool}, nil
	}}
}

// Dial connects to another caperdrum process. It implements peer.Dialer.
func (s *Store) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil || s == nil {
		return raw, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		raw.Close()
		return nil, err
	}
	m := s.currentCredentials()
	conn := tls.Client(raw, &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: m.pool, Certificates: []tls.Certificate{m.peer}})
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		// Nothing was sent for the caller yet, so report it like a failed connection.
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: raw.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// DialContext is Dial with the signature of http.Transport.DialContext. Requests keep the scheme http; the
// connection itself is encrypted.
func (s *Store) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return s.Dial(ctx, address)
}
