package commands

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"caperdrum.org/api/timeline"
)

//go:embed timeline.html
var timelinePage string

var timelineTemplate = template.Must(template.New("timeline").Parse(timelinePage))

const (
	laneHeight  = 40
	laneStart   = 22 // below the time scale
	scaleStart  = 190
	scaleWidth  = 1100
	scaleMargin = 30
	scaleTicks  = 8
	maxRows     = 2000
)

// kindColors are assigned to event kinds in the order of their frequency.
var kindColors = []string{"#2f6db3", "#3a9a5c", "#d08a1d", "#8a57b8", "#c2453b", "#2a9aa5", "#7a6a53", "#b04a86", "#55606e", "#9aa32c"}

type page struct {
	Events     []timeline.Event
	Unreached  []string
	From, To   string
	Width      int
	Height     int
	LaneHeight int
	Lanes      []lane
	Ticks      []tick
	Dots       []dot
	Legend     []legendRow
	Rows       []row
}

type lane struct {
	Process, VM     string
	Top, TextY, VMY int
	Odd             bool
}

type tick struct {
	X     int
	Label string
}

type dot struct {
	X, Y    int
	Color   string
	Request string
	Title   string
}

type legendRow struct {
	Kind  timeline.Kind
	Color string
	Count int
}

type row struct {
	Time, Process, Customer, Request, Detail string
	Kind                                     timeline.Kind
}

func writeHTML(events []timeline.Event, unreached []string) error {
	return renderHTML(os.Stdout, events, unreached)
}

// renderHTML writes a self-contained page with one lane per process.
func renderHTML(w io.Writer, events []timeline.Event, unreached []string) error {
	p := page{Events: events, Unreached: unreached, Width: scaleStart + scaleWidth + scaleMargin, LaneHeight: laneHeight}
	tops := p.layoutLanes()
	colors := p.layoutLegend()
	if len(events) > 0 {
		p.layoutEvents(tops, colors)
	}
	p.Height = laneStart + laneHeight*len(p.Lanes)
	return timelineTemplate.Execute(w, p)
}

// layoutLanes gives each process a lane, sorted by name, and returns the top of each.
func (p *page) layoutLanes() map[string]int {
	vms := map[string]string{}
	for _, e := range p.Events {
		vms[e.Process] = e.VM
	}
	names := make([]string, 0, len(vms))
	for name := range vms {
		names = append(names, name)
	}
	sort.Strings(names)
	tops := map[string]int{}
	for i, name := range names {
		top := laneStart + i*laneHeight
		tops[name] = top
		p.Lanes = append(p.Lanes, lane{Process: name, VM: vms[name], Top: top, TextY: top + 18, VMY: top + 32, Odd: i%2 == 1})
	}
	return tops
}

func (p *page) layoutLegend() map[timeline.Kind]string {
	counts := map[timeline.Kind]int{}
	for _, e := range p.Events {
		counts[e.Kind]++
	}
	for kind, n := range counts {
		p.Legend = append(p.Legend, legendRow{Kind: kind, Count: n})
	}
	sort.Slice(p.Legend, func(i, j int) bool {
		a, b := p.Legend[i], p.Legend[j]
		return a.Count > b.Count || a.Count == b.Count && a.Kind < b.Kind
	})
	colors := map[timeline.Kind]string{}
	for i := range p.Legend {
		p.Legend[i].Color = kindColors[i%len(kindColors)]
		colors[p.Legend[i].Kind] = p.Legend[i].Color
	}
	return colors
}

func (p *page) layoutEvents(tops map[string]int, colors map[timeline.Kind]string) {
	first, last := p.Events[0].At.Time(), p.Events[len(p.Events)-1].At.Time()
	span := max(last.Sub(first), time.Millisecond)
	place := func(at time.Time) int {
		return scaleStart + int(float64(scaleWidth)*float64(at.Sub(first))/float64(span))
	}
	p.From, p.To = clockTime(first), clockTime(last)
	for i := range scaleTicks + 1 {
		at := first.Add(span * time.Duration(i) / scaleTicks)
		p.Ticks = append(p.Ticks, tick{place(at), "+" + at.Sub(first).Round(time.Millisecond/10).String()})
	}
	for i, e := range p.Events {
		title := fmt.Sprintf("%s  %s\n%s", clockTime(e.At.Time()), e.Kind, e.Detail)
		if e.Request != "" {
			title += "\nrequest " + e.Request
		}
		p.Dots = append(p.Dots, dot{X: place(e.At.Time()), Y: tops[e.Process] + laneHeight/2, Color: colors[e.Kind], Request: e.Request, Title: title})
		if i < maxRows {
			p.Rows = append(p.Rows, row{Time: clockTime(e.At.Time()), Process: e.Process, Kind: e.Kind, Customer: e.Customer,
				Request: e.Request, Detail: strings.TrimSpace(e.Detail)})
		}
	}
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }
