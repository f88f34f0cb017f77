package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/timeline"
	"caperdrum.org/ctl/adminclient"
)

// Timeline prints the merged event timeline of all processes.
type Timeline struct {
	adminFlags
	request, customer, vm, kind string
	since                       time.Duration
	also, format                string
}

func (*Timeline) Name() string     { return "timeline" }
func (*Timeline) Synopsis() string { return "show the events of all processes in chronological order" }
func (*Timeline) Usage() string {
	return "timeline [-admin ADDRESSES] [-request ID] [-since 1m] [-format text|json|html]\n"
}

// SetFlags implements subcommands.Command.
func (t *Timeline) SetFlags(f *flag.FlagSet) {
	t.adminFlags.SetFlags(f)
	f.StringVar(&t.request, "request", "", "only events of this request `id`")
	f.StringVar(&t.customer, "customer", "", "only events of this customer")
	f.StringVar(&t.vm, "vm", "", "only events of this VM")
	f.StringVar(&t.kind, "kind", "", "only events of this kind")
	f.DurationVar(&t.since, "since", 0, "only events of the last `duration`")
	f.StringVar(&t.also, "also", "", "additional debug `addresses`, comma-separated")
	f.StringVar(&t.format, "format", "text", "text, json, or html: one page with a lane for each process")
}

// Execute implements subcommands.Command.
func (t *Timeline) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	write, ok := map[string]func([]timeline.Event, []string) error{"text": writeText, "json": writeJSON, "html": writeHTML}[t.format]
	if !ok {
		return usage(fmt.Errorf("unknown format %q: use text, json or html", t.format))
	}
	cl, err := t.client()
	if err != nil {
		return usage(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	events, unreached, err := t.collect(ctx, cl)
	if err != nil {
		return failure(err)
	}
	if err := write(events, unreached); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}

func writeText(events []timeline.Event, unreached []string) error {
	printEvents(events)
	for _, a := range unreached {
		fmt.Printf("not reached: %s\n", a)
	}
	return nil
}

func printEvents(events []timeline.Event) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, e := range events {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.At.Time().Format("15:04:05.000"), e.Process, e.Kind, e.Request, strings.TrimSpace(e.Detail))
	}
	w.Flush()
}

// timelineReport is the JSON form of a timeline.
type timelineReport struct {
	Events    []timeline.Event `json:"events"`
	Unreached []string         `json:"not_reached"`
}

func writeJSON(events []timeline.Event, unreached []string) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(timelineReport{events, unreached})
}

// collect reads the events of the control processes, of all members and of the addresses in -also. It also
// returns the addresses that could not be reached.
func (t *Timeline) collect(ctx context.Context, cl *adminclient.Client) ([]timeline.Event, []string, error) {
	members, err := cl.Members(ctx)
	if err != nil {
		return nil, nil, err
	}
	addresses := strictini.SplitList(t.also)
	var down []string
	for _, st := range cl.Status(ctx) {
		if st.Err != nil {
			down = append(down, st.Address)
			continue
		}
		addresses = append(addresses, st.Status.Debug)
	}
	for _, m := range members {
		addresses = append(addresses, m.Debug)
	}
	events, unreached := cl.Timeline(ctx, addresses, t.query())
	return events, append(unreached, down...), nil
}

func (t *Timeline) query() string {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set("request", t.request)
	set("customer", t.customer)
	set("vm", t.vm)
	set("kind", t.kind)
	if t.since > 0 {
		q.Set("since", timeline.StampOf(time.Now().Add(-t.since)).String())
	}
	return q.Encode()
}
