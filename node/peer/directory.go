package peer

import (
	"context"
	"slices"
	"sync"
)

// Directory holds the peer addresses of the control processes: those that the cluster announced last,
// followed by those of the settings.
type Directory struct {
	mu         sync.Mutex
	configured []string
	learned    []string
	addresses  []string
	generation uint64
}

// NewDirectory returns a directory with the addresses of the settings.
func NewDirectory(configured []string) *Directory {
	d := &Directory{}
	d.Configure(configured)
	return d
}

// Configure replaces the addresses of the settings.
func (d *Directory) Configure(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configured = slices.Clone(addresses)
	d.refresh()
}

// Learn replaces the addresses announced by the cluster. An empty list is ignored.
func (d *Directory) Learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned = slices.Clone(addresses)
	slices.Sort(d.learned)
	d.refresh()
}

func (d *Directory) refresh() {
	next := slices.Clone(d.learned)
	for _, a := range d.configured {
		if !slices.Contains(next, a) {
			next = append(next, a)
		}
	}
	if !slices.Equal(next, d.addresses) {
		d.addresses = next
		d.generation++
	}
}

// Configured returns the addresses of the settings.
func (d *Directory) Configured() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.configured)
}

// Addresses returns all addresses, and a generation number that grows when they change.
func (d *Directory) Addresses() ([]string, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.addresses), d.generation
}

// Learned returns the addresses that the cluster announced last.
func (d *Directory) Learned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.learned)
}

// MethodControlAddresses asks any process for the addresses of the control processes.
const MethodControlAddresses = "peer.where"

// ControlAddresses is the reply to MethodControlAddresses and the request of MethodAnnounceControl. It is
// empty if no addresses are known.
type ControlAddresses struct {
	Control []string `json:"control"`
}

// MethodAnnounceControl sends a process the addresses of the control processes.
const MethodAnnounceControl = "peer.tell"

// MethodPing checks whether a process answers.
const MethodPing = "peer.ping"

// Empty is a request or reply without content.
type Empty struct{}

// Ping handles MethodPing.
func Ping(context.Context, *Empty) (*Empty, error) { return &Empty{}, nil }

// IgnoreControlAddresses handles MethodAnnounceControl by ignoring it, for a control process, which knows the
// voters itself.
func IgnoreControlAddresses(context.Context, *ControlAddresses) (*Empty, error) { return &Empty{}, nil }
