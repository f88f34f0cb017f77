package peer

import (
	"context"
	"slices"
	"sync"
)

// Directory holds the peer addresses at which control processes are thought to
// listen: those that the cluster named last, then those of the settings.
type Directory struct {
	mu         sync.Mutex
	configured []string
	learned    []string
	addresses  []string
	generation uint64
}

// NewDirectory returns a directory of the addresses in the settings.
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

// Learn replaces the addresses that the cluster named. An empty list says
// nothing.
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

// Addresses returns all addresses and a number that grows when they change.
func (d *Directory) Addresses() ([]string, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.addresses), d.generation
}

// Learned returns the addresses that the cluster named last.
func (d *Directory) Learned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.learned)
}

// MethodWhere asks any process where control processes listen.
const MethodWhere = "peer.where"

// Where answers MethodWhere; it is empty where nothing is known.
type Where struct {
	Control []string `json:"control"`
}

// MethodTell tells a process that others know where control processes listen.
const MethodTell = "peer.tell"

// MethodPing asks any process whether it answers.
const MethodPing = "peer.ping"

// Empty is a call or an answer without content.
type Empty struct{}

// Ping answers MethodPing.
func Ping(context.Context, *Empty) (*Empty, error) { return &Empty{}, nil }

// Told answers MethodTell where nothing can be learned: a control process knows
// the voters itself.
func Told(context.Context, *Where) (*Empty, error) { return &Empty{}, nil }
