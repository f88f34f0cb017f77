package control

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/node/disk"
	"caperdrum.org/node/formation"
	"caperdrum.org/node/logging"
	"caperdrum.org/node/peer"
)

const (
	formationInterval = 100 * time.Millisecond
	helloTimeout      = 500 * time.Millisecond
	// formationFile stores the seed addresses of the first start until the process has joined a cluster, so
	// that a founder that is killed before it created the cluster resumes after a restart.
	formationFile = "formation"
)

// errCorruptFormationFile says that the stored seed list cannot be decoded. The file is written atomically,
// so the disk must be damaged.
var errCorruptFormationFile = errors.New("control: corrupt formation file")

// loadSeeds returns the seed addresses among which the founder is chosen. It returns nil if this process may
// not create a cluster, because it did not take part in the first start.
func loadSeeds(fs disk.FS, firstStart bool, configured []string) ([]string, error) {
	data, err := fs.ReadFile(formationFile)
	if err == nil {
		var seeds []string
		if json.Unmarshal(data, &seeds) == nil {
			return seeds, nil
		}
		return nil, errors.Annotatef(errCorruptFormationFile, "%s", data)
	}
	if !os.IsNotExist(errors.Cause(err)) || !firstStart {
		return nil, ignoreMissing(err)
	}
	data, err = json.Marshal(configured)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return configured, errors.Trace(disk.WriteFile(fs, formationFile, data))
}

func ignoreMissing(err error) error {
	if os.IsNotExist(errors.Cause(err)) {
		return nil
	}
	return errors.Trace(err)
}

// runFormation creates the cluster if this process is the founder. It returns once the process belongs to a
// cluster.
func (s *Service) runFormation(ctx context.Context) {
	rule := formation.FounderElection{Self: s.set.Control.Advertise, Seeds: s.seeds}
	clients := map[string]*peer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for ctx.Err() == nil && !s.joined() {
		step := rule.Next()
		if step.BecomeFounder {
			s.initCluster(ctx)
			return
		}
		if step.Seed != "" {
			if clients[step.Seed] == nil {
				clients[step.Seed] = peer.NewClient(step.Seed, s.transport.dial)
			}
			answer := s.hello(ctx, clients[step.Seed], step.Hello)
			if answer.Known {
				s.log.Info("seed answered", "address", step.Seed, "has_disk", answer.HasDisk, "founder", answer.Founder, "asked_to_be_named", step.Hello.Address != "")
			}
			rule.RecordReply(step.Seed, step.Hello, answer)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(formationInterval):
		}
	}
}

func (s *Service) joined() bool {
	st := s.cluster.Status()
	return st.LastIndex > 0 || st.Term > 0
}

// hello asks a seed whether it can be the founder. Without an answer, it returns an empty one.
func (s *Service) hello(ctx context.Context, client *peer.Client, question formation.Hello) formation.HelloReply {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var answer formation.HelloReply
	if err := client.Call(ctx, formation.MethodHello, question, &answer); err != nil {
		s.log.V(logging.Detail).Info("seed did not answer", "address", client.Address(), "error", err.Error())
		return formation.HelloReply{}
	}
	return answer
}

func (s *Service) initCluster(ctx context.Context) {
	if err := s.replica.Init(ctx); err != nil {
		s.log.Error(err, "failed to create the cluster")
		return
	}
	s.log.Info("cluster created", "seeds", s.seeds)
}

// answerHello reports that this process has a disk.
func (s *Service) answerHello(context.Context, *formation.Hello) (*formation.HelloReply, error) {
	return &formation.HelloReply{Known: true, HasDisk: true}, nil
}
