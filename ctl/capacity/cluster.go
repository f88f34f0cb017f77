package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

const (
	voters       = 3
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// cluster is a set of separate caperdrumd control processes on loopback.
type cluster struct {
	dir     string
	admin   *adminclient.Client
	control []*process
	version uint64
}

type process struct {
	name, peer, admin string
	cmd               *exec.Cmd
}

func startCluster(ctx context.Context, daemon string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &cluster{dir: dir}
	var peers, admins []string
	for i := range voters {
		p := &process{name: fmt.Sprint("control-", i+1)}
		if p.peer, err = freeAddress(); err != nil {
			return c, err
		}
		if p.admin, err = freeAddress(); err != nil {
			return c, err
		}
		c.control = append(c.control, p)
		peers, admins = append(peers, p.peer), append(admins, p.admin)
	}
	for _, p := range c.control {
		if err := c.start(daemon, p, strings.Join(peers, ", ")); err != nil {
			return c, err
		}
	}
	c.admin = adminclient.New(admins, "")
	if err := c.form(ctx); err != nil {
		return c, err
	}
	return c, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (c *cluster) start(daemon string, p *process, peers string) error {
	text := fmt.Sprintf(`[node]
name = %s
vm = vm-%s
data_center = dc-1
roles = control
data_dir = %s
[peers]
control = %s
[control]
listen = %s
admin = %s
open_admin = true
[debug]
listen = 127.0.0.1:0
`, p.name, p.name, filepath.Join(c.dir, p.name), peers, p.peer, p.admin)
	if err := os.Mkdir(filepath.Join(c.dir, p.name), 0o700); err != nil {
		return errors.Trace(err)
	}
	file := filepath.Join(c.dir, p.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	log, err := os.Create(filepath.Join(c.dir, p.name+".log"))
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	p.cmd = exec.Command(daemon, "-settings", file)
	p.cmd.Stderr = log
	return errors.Trace(p.cmd.Start())
}

// form initializes the cluster and waits until all processes are voters.
func (c *cluster) form(ctx context.Context) error {
	started := false
	return waitFor(ctx, "three voters", func() bool {
		if !started {
			_, err := c.admin.Init(ctx)
			started = err == nil
		}
		for _, s := range c.admin.Status(ctx) {
			if s.Status.State == "leader" && len(s.Status.Voters) == voters && len(s.Status.Learners) == 0 {
				return true
			}
		}
		return false
	})
}

// roles returns the leader and the other processes.
func (c *cluster) roles(ctx context.Context) (leader *process, followers []*process, err error) {
	name := ""
	for _, s := range c.admin.Status(ctx) {
		if s.Status.State == "leader" {
			name = string(s.Status.ID)
		}
	}
	for _, p := range c.control {
		if p.name == name {
			leader = p
		} else {
			followers = append(followers, p)
		}
	}
	if leader == nil {
		return nil, nil, errors.New("capacity: no leader")
	}
	return leader, followers, nil
}

// apply puts a configuration in force and returns its version.
func (c *cluster) apply(ctx context.Context, text string) (uint64, error) {
	res, err := c.admin.Apply(ctx, wire.ChangeRequest{Number: c.version + 1, Text: text, ChangeID: uuid.NewString()})
	if err != nil {
		return 0, err
	}
	if !res.Accepted {
		return 0, errors.Errorf("capacity: the configuration was rejected: %s", res.Reason)
	}
	c.version = res.Version
	return res.Version, nil
}

// stop kills the processes of the cluster and removes their files.
func (c *cluster) stop() {
	for _, p := range c.control {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill()
			p.cmd.Wait()
		}
	}
	os.RemoveAll(c.dir)
}

func waitFor(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("capacity: timed out waiting for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
