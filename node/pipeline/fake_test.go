package pipeline

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/timeline"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/dispatch"
	"caperdrum.org/node/internal/rapidtest"
	"caperdrum.org/node/routing"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=1") }

// fakeGate responds to attempts by calling respond, and records them.
type fakeGate struct {
	mu      sync.Mutex
	calls   []dispatch.Call
	at      []wire.MemberID
	respond func(ctx context.Context, n int, e *routing.Endpoint, c dispatch.Call) (*dispatch.Response, error)
}

func (g *fakeGate) Do(ctx context.Context, e *routing.Endpoint, c dispatch.Call) (*dispatch.Response, error) {
	g.mu.Lock()
	n := len(g.calls)
	g.calls = append(g.calls, c)
	g.at = append(g.at, e.Member.ID)
	g.mu.Unlock()
	return g.respond(ctx, n, e, c)
}

func (g *fakeGate) attempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

type noCapacityReports struct{}

func (noCapacityReports) Report(string, bool) {}

// newFake returns a service whose members all respond through g.
func newFake(g *fakeGate, members int, services ...*optext.Service) *Service {
	v := &configsync.View{Config: configOf(services...), Agents: map[string][]wire.Member{}}
	for _, sv := range services {
		for i := range members {
			v.Agents[sv.Name] = append(v.Agents[sv.Name], wire.Member{ID: wire.MemberID(fmt.Sprintf("%s-%d", sv.Name, i))})
		}
	}
	table := routing.NewTable("entry", "")
	table.Update(v)
	return newService(timeline.NewRing("entry", "vm", 16), table, g, noCapacityReports{})
}

func configOf(services ...*optext.Service) *optext.Config {
	c := &optext.Config{Services: map[string]*optext.Service{}}
	for _, sv := range services {
		c.Services[sv.Name] = sv
	}
	return c
}

func serviceOf(name string, kind optext.Kind, repeatable bool) *optext.Service {
	return &optext.Service{Name: name, Kind: string(kind), Repeatable: repeatable, RetryPercent: 100, HedgePercent: 10, Ejection: true}
}

func callOf(sv *optext.Service, timeout time.Duration) dispatch.Call {
	return dispatch.Call{Request: "r", Stage: sv.Name, Service: sv.Name, Customer: "c", Repeatable: sv.Repeatable,
		Method: "POST", Path: "/", Body: []byte("{}"), Deadline: time.Now().Add(timeout)}
}

// after responds with a body after the given time, unless the attempt is abandoned first.
func after(ctx context.Context, d time.Duration, status int, body string) (*dispatch.Response, error) {
	select {
	case <-time.After(d):
		return &dispatch.Response{Status: status, ContentType: "application/json", Body: &cutBody{ctx: ctx, data: []byte(body), end: io.EOF}}, nil
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "abandoned")
	}
}

// cutBody returns its data and then the error end. If end is nil it blocks until the attempt is abandoned.
type cutBody struct {
	ctx  context.Context
	data []byte
	end  error
}

func (b *cutBody) Read(p []byte) (int, error) {
	if len(b.data) > 0 {
		n := copy(p, b.data)
		b.data = b.data[n:]
		return n, nil
	}
	if b.end == nil {
		<-b.ctx.Done()
		return 0, verdict.New(verdict.Ran, verdict.CodeDeadlineExceeded, "abandoned")
	}
	return 0, b.end
}

func (b *cutBody) Close() error { return nil }

func errTruncated() error { return verdict.New(verdict.Ran, verdict.CodeAnswerCut, "cut") }
