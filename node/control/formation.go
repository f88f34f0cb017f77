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
	// formationFile holds the addresses of the first start for as long as the
	// process has not joined a cluster, so that a founder that is killed before
	// it founded goes on after its restart.
	formationFile = "formation"
)

// errFormationFile says that the list of the first start cannot be read. The
// file is written whole or not at all, so the disk is damaged.
var errFormationFile = errors.New("control: the file of the first start is damaged")

// startFormation returns the addresses among which the founder is chosen, or
// nil when this process may not found: it was not there at the first start.
func startFormation(fs disk.FS, firstStart bool, configured []string) ([]string, error) {
	data, err := fs.ReadFile(formationFile)
	if err == nil {
		var seeds []string
		if json.Unmarshal(data, &seeds) == nil {
			return seeds, nil
		}
		return nil, errors.Annotatef(errFormationFile, "%s", data)
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

// form founds the cluster if that is this process's part, and ends once the
// process belongs to a cluster.
func (s *Service) form(ctx context.Context) {
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
			s.found(ctx)
			return
		}
		if step.Seed != "" {
			if clients[step.Seed] == nil {
				clients[step.Seed] = peer.NewClient(step.Seed, s.links.dial)
			}
			answer := s.hello(ctx, clients[step.Seed], step.Hello)
			if answer.Known {
				s.log.Info("seed heard", "address", step.Seed, "has_disk", answer.HasDisk, "founder", answer.Founder, "asked_to_be_named", step.Hello.Address != "")
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
	return st.Last > 0 || st.Term > 0
}

// hello asks a seed whether it can found. No answer says nothing.
func (s *Service) hello(ctx context.Context, client *peer.Client, question formation.Hello) formation.HelloReply {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var answer formation.HelloReply
	if err := client.Call(ctx, formation.MethodHello, question, &answer); err != nil {
		s.log.V(logging.Detail).Info("seed not heard", "address", client.Address(), "error", err.Error())
		return formation.HelloReply{}
	}
	return answer
}

func (s *Service) found(ctx context.Context) {
	if err := s.replica.Init(ctx); err != nil {
		s.log.Error(err, "cluster not founded")
		return
	}
	s.log.Info("cluster founded", "seeds", s.seeds)
}

// answerHello tells that this process has a disk.
func (s *Service) answerHello(context.Context, *formation.Hello) (*formation.HelloReply, error) {
	return &formation.HelloReply{Known: true, HasDisk: true}, nil
}
