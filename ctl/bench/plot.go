package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotHeight       = 9 * vg.Centimeter
	plotMargin       = 6 * vg.Centimeter
	widthPerScenario = 2.6 * vg.Centimeter
	groupWidth       = 1.8 * vg.Centimeter
	labelRotation    = 0.4  // radians
	legendMargin     = 1.25 // factor on the y axis that keeps the legend off the bars
)

// WritePlot draws attainment relative to capacity as a bar chart, with one group per scenario and one bar per
// policy. The extension of the file (svg, png and others) selects the format.
func (r *Report) WritePlot(path string, d Deployment) error {
	scenarios, policies, value := r.grid(d)
	p := plot.New()
	p.Title.Text = "Attained within capacity, " + r.Deployment
	p.Y.Label.Text = "per cent"
	p.Y.Min, p.Y.Max = 0, 100*legendMargin
	p.Legend.Top = true
	width := groupWidth / vg.Length(max(len(policies), 1))
	for i, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for j, s := range scenarios {
			values[j] = 100 * value[s+" "+policy]
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(2*i-len(policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	p.X.Min, p.X.Max = -0.5, float64(len(scenarios))-0.5 // show the outer groups completely
	p.X.Tick.Label.Rotation = -labelRotation
	return p.Save(plotMargin+widthPerScenario*vg.Length(len(scenarios)), plotHeight, path)
}

// grid returns the scenarios and policies in the order of the results, and the value of each pair by
// "SCENARIO POLICY".
func (r *Report) grid(d Deployment) (scenarios, policies []string, value map[string]float64) {
	value = map[string]float64{}
	seen := map[string]bool{}
	add := func(list []string, prefix, name string) []string {
		if seen[prefix+name] {
			return list
		}
		seen[prefix+name] = true
		return append(list, name)
	}
	for _, x := range r.Results {
		scenarios = add(scenarios, "scenario ", x.Scenario)
		policies = add(policies, "policy ", x.Policy)
		value[x.Scenario+" "+x.Policy] = x.AttainmentOfCapacity(d)
	}
	return scenarios, policies, value
}
