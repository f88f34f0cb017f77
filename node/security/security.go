// Package security gives the process's listeners and connections their
// encryption: mutual TLS between caperdrum's processes, TLS towards callers
// and administrators. Certificate files are read again when they change, so a
// renewal needs no restart. Plain text is for loopback addresses only.
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

// Files name PEM files. CallerCertificate and CallerKey default to
// Certificate and Key.
type Files struct {
	CA                string // authority of all processes' certificates
	Certificate       string // this process, as client and as server, with its IP numbers
	Key               string
	CallerCertificate string
	CallerKey         string
}

// Purpose says who connects to a listener.
type Purpose int

// Purposes of a listener.
const (
	Peers   Purpose = iota // caperdrum's own processes: a certificate is asked for
	Callers                // callers and administrators
)

const (
	reloadInterval   = time.Second // how often a handshake may look at the files
	handshakeTimeout = 5 * time.Second
	dialTimeout      = time.Second
)

// ErrUnreadable says that certificate files cannot be used.
var ErrUnreadable = errors.New("security: certificate files")

// Store holds the current certificates. A nil Store means plain text.
type Store struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamp   [5]time.Time // modification times of the loaded files
	current *material
}

type material struct {
	pool   *x509.CertPool
	peer   tls.Certificate
	caller tls.Certificate
}

// New loads the files. Without a CA it returns nil, which is plain text.
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
	s.current, s.stamp, s.checked = m, s.times(), time.Now()
	return s, nil
}

func (s *Store) load() (*material, error) {
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "%v", err)
	}
	m := &material{pool: x509.NewCertPool()}
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

func (s *Store) times() [5]time.Time {
	var out [5]time.Time
	for i, name := range []string{s.files.CA, s.files.Certificate, s.files.Key, s.files.CallerCertificate, s.files.CallerKey} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// now returns the current material. Files that changed but do not load, such
// as a certificate whose key is not written yet, leave the old ones in use.
func (s *Store) now() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < reloadInterval {
		return s.current
	}
	s.checked = time.Now()
	stamp := s.times()
	if stamp == s.stamp {
		return s.current
	}
	if m, err := s.load(); err == nil {
		s.current, s.stamp = m, stamp
	}
	return s.current
}

// Listen opens a listener for the purpose.
func (s *Store) Listen(address string, p Purpose) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || s == nil {
		return l, err
	}
	return tls.NewListener(l, s.server(p)), nil
}

func (s *Store) server(p Purpose) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.now()
		if p == Callers {
			return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.caller}}, nil
		}
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.peer},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.pool}, nil
	}}
}

// Dial connects to another process of the system. It has the type of
// peer.Dialer.
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
	m := s.now()
	conn := tls.Client(raw, &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: m.pool, Certificates: []tls.Certificate{m.peer}})
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		// Nothing was sent on behalf of the caller: the same as not connected.
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: raw.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// DialNetwork is Dial in the form that http.Transport takes. Requests keep the
// scheme http; the connection below is encrypted.
func (s *Store) DialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return s.Dial(ctx, address)
}
