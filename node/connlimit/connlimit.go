// Package connlimit bounds what clients hold of a process, whatever they send: connections, requests that are not complete,
// and bytes that arrive and are not read. All listeners of the process share one account. When it is spent, the connection
// that has taken most without a complete request is closed first, so that many such clients pay and an ordinary request
// passes.
package connlimit

import (
	"expvar"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/settings"
)

// Kind is what a listener is for. Its text is a label of metrics and logs.
type Kind string

// Kinds of listeners.
const (
	Callers   Kind = "callers"
	Readiness Kind = "readiness"
	Operators Kind = "operators"
	Peers     Kind = "peers"
	Debug     Kind = "debug"
)

// connectionDivisors are the shares of the descriptors that the connections of a kind may take: one part in so many. The rest
// is for connections to upstreams and other processes.
var connectionDivisors = map[Kind]int{Callers: 2, Peers: 4, Operators: 8, Readiness: 32, Debug: 32}

const (
	// minConnections is the least number of connections of a kind.
	minConnections = 8
	// reservedDescriptors are for files and whatever the machine needs besides connections. With less than twice as many, half
	// of them are reserved.
	reservedDescriptors = 200
	// memoryDivisor sets the account: one part in this many of the memory that the process may use. It is smaller in a process
	// with routes to upstreams, which has another account for bodies and responses.
	memoryDivisor      = 6
	proxyMemoryDivisor = 8
	// defaultMemory is the account in bytes when the settings do not set the process's memory.
	defaultMemory = 256 << 20
	// freeBytes of each connection are not counted, so that ordinary requests pass whatever others take.
	freeBytes = 8 << 10
	// fieldBytes is the memory that a parsed field takes besides its text, with the growth of the map that holds it.
	fieldBytes = 128
	// leavingDivisor bounds the bytes of evicted connections that are not free yet: one part in this many of the account.
	leavingDivisor = 2
	// headSlack is by how much a head may be longer than the limit: it counts the fields, not what surrounds them.
	headSlack = 4 << 10
	// maxEmptyLines is how many empty lines may precede a request (RFC 9112, section 2.2).
	maxEmptyLines = 4
	// minIdle is how long a connection must have been new or idle to be closed for another one, if there are others to close: a
	// request may be on its way on one that has just been made or become idle.
	minIdle = time.Second
	// maxUnreadTime is how long a client may read nothing of its answer while its connection is wanted for another one.
	maxUnreadTime = 5 * time.Second
	// maxMessagePause is how long a message of a peer that is larger than the account may make no progress while another one
	// waits for its place.
	maxMessagePause = 2 * time.Second
	// refusalTimeout bounds the time in which a refused client can receive the answer.
	refusalTimeout = 500 * time.Millisecond
	// The kernel holds up to twice the receive buffer of a connection.
	minReceiveBuffer, maxReceiveBuffer = 8 << 10, 256 << 10
	// logInterval is the shortest time between two log lines on closed connections.
	logInterval = time.Second
)

// reason is why a connection is closed. Its text is a label of metrics and logs.
type reason string

const (
	reasonHead        reason = "head"        // its head is above the limit
	reasonEmptyLines  reason = "empty_lines" // it sends empty lines instead of a request
	reasonMemory      reason = "memory"      // the account is spent
	reasonDescriptors reason = "descriptors" // its listener has as many connections as it may have
)

var (
	closedVar = expvar.NewMap("client_connections_closed") // by kind/reason
	heldVar   = expvar.NewInt("client_bytes_held")
)

// Service is the account of a process. A nil Service has no limits. It is safe for concurrent use.
type Service struct {
	log           logr.Logger
	clock         clockwork.Clock
	limit         int64 // bytes
	receiveBuffer int   // bytes of a connection; zero: the kernel's default
	connections   map[Kind]int

	mu        sync.Mutex
	headBytes map[Kind]int64 // limits of heads; zero: the default
	bodyBytes map[Kind]int64 // how much of a body is counted; zero: all of it
	used      int64          // bytes
	leaving   int64          // bytes of evicted connections whose servers have not noticed it yet
	overdrawn *Conn          // whose bytes are not in used; nil if there is none
	left      *sync.Cond     // a connection was evicted or has ended
	conns     map[Kind]map[*Conn]struct{}
	closed    map[string]int // since the last log line, by kind/reason
	loggedAt  time.Time
}

// New returns the account of a process with the settings.
func New(set *settings.Settings, log logr.Logger) *Service {
	divisor := int64(memoryDivisor)
	if set.HasRole(settings.Proxy) {
		divisor = proxyMemoryDivisor
	}
	return newService(int64(set.Node.MemoryMB)<<20/divisor, descriptors(set.Node.Descriptors), log, clockwork.NewRealClock())
}

// newService returns an account of so many bytes for a process that may have so many descriptors. Zero means unknown.
func newService(limit int64, descriptors int, log logr.Logger, clock clockwork.Clock) *Service {
	s := &Service{log: log, clock: clock, limit: limit, connections: map[Kind]int{}, headBytes: map[Kind]int64{}, bodyBytes: map[Kind]int64{}, conns: map[Kind]map[*Conn]struct{}{}, closed: map[string]int{}}
	s.left = sync.NewCond(&s.mu)
	if limit == 0 {
		s.limit = defaultMemory
	}
	available := descriptors - min(reservedDescriptors, descriptors/2)
	total := 0
	for kind, divisor := range connectionDivisors {
		s.conns[kind] = map[*Conn]struct{}{}
		if descriptors > 0 {
			s.connections[kind] = max(minConnections, available/divisor)
			total += s.connections[kind]
		}
	}
	if limit > 0 && descriptors > 0 {
		s.receiveBuffer = int(min(maxReceiveBuffer, max(minReceiveBuffer, s.limit/int64(total))))
	}
	return s
}

// descriptors returns how many descriptors the process may have: as the settings say, or else the kernel.
func descriptors(set int) int {
	const unlimited = 1 << 20
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < unlimited && (set == 0 || int(limit.Cur) < set) {
		return int(limit.Cur)
	}
	return set
}

// MaxDocumentBytes returns how large a document may be, for which the process needs several times its size, given the limit
// that holds where there is memory enough.
func (s *Service) MaxDocumentBytes(limit int64) int64 {
	if s == nil {
		return limit
	}
	return min(limit, s.limit/2)
}

// SetMaxHead sets the limit in bytes of the heads of requests to listeners of the kind. Zero restores the default.
func (s *Service) SetMaxHead(kind Kind, bytes int64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headBytes[kind] = bytes
}

// SetCountedBody sets how much of a body to a listener of the kind is counted, in bytes: what is beyond it counts elsewhere.
func (s *Service) SetCountedBody(kind Kind, bytes int64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyBytes[kind] = bytes
}

// maxHead returns the limit of the bytes of a head. The caller must hold the lock.
func (s *Service) maxHead(kind Kind) int64 {
	if n := s.headBytes[kind]; n > 0 && n < wire.MaxRequestHeadBytes {
		return n + headSlack
	}
	return wire.MaxRequestHeadBytes + headSlack
}
