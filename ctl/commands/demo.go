package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
	"caperdrum.org/ctl/client"
	"caperdrum.org/fake/standin"
)

// Demo sends requests through a running system and checks the guarantees of the product.
type Demo struct {
	adminFlags
	entries, desks, text string
	kill, killControl    int
}

func (*Demo) Name() string     { return "demo" }
func (*Demo) Synopsis() string { return "demonstrate and check the guarantees of a running system" }
func (*Demo) Usage() string {
	return "demo -entries A,B -desks A,B -text FILE [-kill PID] [-kill-control PID]\n"
}

// SetFlags implements subcommands.Command.
func (d *Demo) SetFlags(f *flag.FlagSet) {
	d.adminFlags.SetFlags(f)
	f.StringVar(&d.entries, "entries", "", "`addresses` of two entries, comma-separated")
	f.StringVar(&d.desks, "desks", "", "`addresses` of the stand-ins that count confirmations")
	f.StringVar(&d.text, "text", "", "operators' configuration in force; the demo changes it")
	f.IntVar(&d.kill, "kill", 0, "process `id` of an agent to kill while requests run")
	f.IntVar(&d.killControl, "kill-control", 0, "process `id` of a control process to kill")
}

// Execute implements subcommands.Command.
func (d *Demo) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, err := d.adminFlags.client()
	if err != nil {
		return usage(err)
	}
	run := &demoRun{flags: d, admin: cl, http: client.New(), entries: strictini.SplitList(d.entries), desks: strictini.SplitList(d.desks)}
	if len(run.entries) < 2 || len(run.desks) == 0 {
		return usage(fmt.Errorf("set -entries to two entries, and -desks"))
	}
	steps := []struct {
		title string
		do    func(context.Context) error
	}{
		{"a pipeline with a streamed response", run.pipeline},
		{"a chat request with a complete response", run.chat},
		{"one confirmation sent twice, through two entries", run.confirmation},
		{"requests while an agent and a control process are killed", run.killProcesses},
		{"confirmations while the control processes elect a new leader", run.confirmation},
		{"a configuration change, and the same change again", run.change},
		{"an unknown customer is rejected as not run", run.refusal},
		{"the timeline of the first request", run.timeline},
		{"cost by stage, over both entries", run.cost},
	}
	for _, s := range steps {
		fmt.Printf("\n== %s\n", s.title)
		if err := s.do(ctx); err != nil {
			fmt.Printf("FAILED: %v\n", err)
			return subcommands.ExitFailure
		}
	}
	fmt.Printf("\nattainment: %d of %d requests completed\n", run.completed, run.sent)
	if run.completed != run.sent {
		return subcommands.ExitFailure
	}
	fmt.Println("all guarantees held")
	return subcommands.ExitSuccess
}

type demoRun struct {
	flags          *Demo
	admin          *adminclient.Client
	http           *client.Client
	entries        []string
	desks          []string
	firstRequestID string // ID of the first request

	mu              sync.Mutex
	sent, completed int
}

func (r *demoRun) send(ctx context.Context, req client.Request) (*client.Response, error) {
	a, err := r.http.Send(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err == nil && a.Complete {
		r.completed++
	}
	return a, err
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

type pipelineBody struct {
	Query  string `json:"query"`
	Stream bool   `json:"stream"`
}

func (r *demoRun) pipelineCall(ctx context.Context, entry, query string, stream bool) (*client.Response, error) {
	return r.send(ctx, client.Request{Entry: entry, Path: "/v1/pipelines/quote", Customer: "foundry", Body: mustJSON(pipelineBody{query, stream})})
}

func (r *demoRun) pipeline(ctx context.Context) error {
	a, err := r.pipelineCall(ctx, r.entries[0], "500 kg of 316L powder, 15 to 45 microns", true)
	if err != nil {
		return err
	}
	r.firstRequestID = a.RequestID
	text, err := client.ChatText(a.Body)
	if err != nil || !a.Complete || text == "" {
		return fmt.Errorf("incomplete: status %d, %s (%v)", a.Status, a.Body, err)
	}
	fmt.Printf("status %d, verdict %s, first byte after %s, complete after %s\n%s\n", a.Status, a.Verdict, a.FirstByte.Round(time.Millisecond), a.Duration.Round(time.Millisecond), text)
	return nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

func (r *demoRun) chat(ctx context.Context) error {
	body := chatBody{Model: "desk-chat", Messages: []chatMessage{{"user", "is lot 7 certified?"}}}
	a, err := r.send(ctx, client.Request{Entry: r.entries[1], Path: "/v1/chat/completions", Customer: "workshop", Body: mustJSON(body)})
	if err != nil {
		return err
	}
	text, err := client.ChatText(a.Body)
	want := standin.Text("user:is lot 7 certified?\n", 16)
	if err != nil || text != want {
		return fmt.Errorf("wrong answer %q, want %q (%v)", text, want, err)
	}
	fmt.Printf("status %d, verdict %s: %s\n", a.Status, a.Verdict, text)
	return nil
}

func (r *demoRun) confirmation(ctx context.Context) error {
	key := uuid.NewString()
	body := mustJSON(struct {
		Lot string `json:"lot"`
	}{"lot-" + key[:8]})
	var first string
	for i, entry := range r.entries {
		a, err := r.send(ctx, client.Request{Entry: entry, Path: "/v1/services/order-desk/confirm", Customer: "foundry", Key: key, Body: body, Timeout: 5 * time.Second})
		if err != nil {
			return err
		}
		fmt.Printf("through %s: status %d, verdict %s, replayed %v: %s\n", entry, a.Status, a.Verdict, a.Replayed, a.Body)
		if i == 0 {
			first = string(a.Body)
		} else if string(a.Body) != first || !a.Replayed {
			return fmt.Errorf("the resend got another response")
		}
	}
	runs, err := r.countRuns(ctx, string(body))
	if err != nil {
		return err
	}
	fmt.Printf("runs at the order desk: %d\n", runs)
	if runs != 1 {
		return fmt.Errorf("the confirmation ran %d times", runs)
	}
	return nil
}

func (r *demoRun) countRuns(ctx context.Context, body string) (int, error) {
	total := 0
	for _, desk := range r.desks {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+desk+"/runs", nil)
		if err != nil {
			return 0, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		runs := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			return 0, err
		}
		total += runs[body]
	}
	return total, nil
}

const (
	killRequests = 200
	killWorkers  = 8
)

func (r *demoRun) killProcesses(ctx context.Context) error {
	var wg sync.WaitGroup
	jobs := make(chan int)
	var mu sync.Mutex
	bad := []string{}
	for range killWorkers {
		wg.Go(func() {
			for i := range jobs {
				query := fmt.Sprintf("request %d", i)
				a, err := r.pipelineCall(ctx, r.entries[i%2], query, i%4 == 0)
				if err != nil || !a.Complete || !isExpectedAnswer(a.Body, query) {
					mu.Lock()
					bad = append(bad, fmt.Sprintf("request %d: %v %+v", i, err, a))
					mu.Unlock()
				}
			}
		})
	}
	for i := range killRequests {
		if i == killRequests/4 {
			r.killProcess("agent", r.flags.kill)
		}
		if i == killRequests/2 {
			r.killProcess("control process", r.flags.killControl)
		}
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	fmt.Printf("%d requests, %d incomplete\n", killRequests, len(bad))
	for _, b := range bad {
		fmt.Println("  ", b)
	}
	return nil // Execute checks at the end that all requests were completed.
}

// isExpectedAnswer reports whether the text is the one that the stand-in engine generates for the query and
// the documents of the other stand-ins.
func isExpectedAnswer(body []byte, query string) bool {
	text, err := client.ChatText(body)
	return err == nil && text == standin.PipelineText(query, demoTokens)
}

const demoTokens = 16

func (r *demoRun) killProcess(what string, pid int) {
	if pid <= 0 {
		return
	}
	fmt.Printf("killing the %s with process id %d\n", what, pid)
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		fmt.Println(err)
	}
}

func (r *demoRun) change(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	text, err := os.ReadFile(r.flags.text)
	if err != nil {
		return err
	}
	current, err := r.admin.Config(ctx)
	if err != nil {
		return err
	}
	c := wire.ChangeRequest{Number: current.Version + 1, ChangeID: uuid.NewString(), Text: string(text) + "\n[customer:additive-shop]\nshare = 1\n"}
	first, err := r.admin.Apply(ctx, c)
	if err != nil || !first.Accepted {
		return fmt.Errorf("not accepted: %+v %v", first, err)
	}
	if status := waitInForce(ctx, r.admin, first.Version); status != subcommands.ExitSuccess {
		return fmt.Errorf("not in force on every member")
	}
	again, err := r.admin.Apply(ctx, c)
	if err != nil || again.Version != first.Version || !again.Resent {
		return fmt.Errorf("the resend got another response: %+v %v", again, err)
	}
	fmt.Printf("resent: version %d again, nothing applied twice\n", again.Version)
	return nil
}

func (r *demoRun) refusal(ctx context.Context) error {
	a, err := r.http.Send(ctx, client.Request{Entry: r.entries[0], Path: "/v1/pipelines/quote", Customer: "nobody", Body: []byte("{}")})
	if err != nil {
		return err
	}
	fmt.Printf("status %d, verdict %s: %s", a.Status, a.Verdict, a.Body)
	if a.Status != http.StatusBadRequest || a.Verdict.String() != "not-run" {
		return fmt.Errorf("not rejected as expected")
	}
	return nil
}

func (r *demoRun) timeline(ctx context.Context) error {
	t := &Timeline{request: r.firstRequestID}
	events, unreached, err := t.collect(ctx, r.admin)
	if err != nil {
		return err
	}
	printEvents(events)
	for _, a := range unreached {
		fmt.Println("not reached:", a)
	}
	stages := 0
	for _, e := range events {
		if strings.HasPrefix(string(e.Kind), "attempt-done") {
			stages++
		}
	}
	if stages < 3 { // the events of the killed agent are lost
		return fmt.Errorf("only %d stages in the timeline", stages)
	}
	return nil
}
