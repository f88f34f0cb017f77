package capacity

import (
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// series is a measured quantity plotted against the number of members.
type series struct {
	name  string
	value func(Sample) float64
}

// Plots draws the measured points and the fitted lines as SVG files.
func Plots(docs string, m *Measurement) error {
	err := draw(filepath.Join(docs, "capacity-processor.svg"), "Idle: processor time", "ms a second", m, []series{
		{"leader, members spread", func(s Sample) float64 { return s.Idle.perSecond(leaderCPU) / 1000 }},
		{"leader, renewals only", func(s Sample) float64 { return s.Aside.perSecond(leaderCPU) / 1000 }},
		{"follower with half of the members", func(s Sample) float64 { return s.Aside.perSecond(followerCPU) / 1000 }},
	})
	if err != nil {
		return err
	}
	return draw(filepath.Join(docs, "capacity-bytes.svg"), "Idle: bytes read and written", "kB a second", m, []series{
		{"leader, members spread", func(s Sample) float64 { return s.Idle.perSecond(leaderBytes) / 1000 }},
		{"leader, renewals only", func(s Sample) float64 { return s.Aside.perSecond(leaderBytes) / 1000 }},
		{"follower with half of the members", func(s Sample) float64 { return s.Aside.perSecond(followerBytes) / 1000 }},
	})
}

func draw(path, title, unit string, m *Measurement, all []series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "members", unit
	p.Legend.Top, p.Legend.Left = true, true
	for i, s := range all {
		var points plotter.XYs
		for _, sample := range m.Sizes {
			points = append(points, plotter.XY{X: float64(sample.Members), Y: s.value(sample)})
		}
		fit := fitOver(m.Sizes, s.value)
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return errors.Trace(err)
		}
		line, err := plotter.NewLine(plotter.XYs{{X: fit.From, Y: fit.At(fit.From)}, {X: fit.To, Y: fit.At(fit.To)}})
		if err != nil {
			return errors.Trace(err)
		}
		dots.Color, line.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(dots, line)
		p.Legend.Add(s.name, line, dots)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}
