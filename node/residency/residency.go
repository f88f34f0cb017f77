// Package residency says in which data centres a call may be served, and what is made for it may be kept.
// Routes and customers name regions; upstreams name data centres.
package residency

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
)

// Regions are the regions of the data centres, by data centre.
type Regions map[string]string

// ErrRegion says that a text names a region in which no data centre is known.
const ErrRegion = errors.ConstError("residency: unknown region")

// RegionsOf joins the regions that the settings name with those of the operators' text, which go first.
func RegionsOf(settings map[string]string, c *optext.Config) Regions {
	out := Regions{}
	for dataCenter, region := range settings {
		out[dataCenter] = region
	}
	if c != nil {
		for name, dc := range c.DataCenters {
			out[name] = dc.Region
		}
	}
	return out
}

// Check reports regions that a text's routes and customers name and that are not known. Where no region is
// known at all, it cannot tell.
func (r Regions) Check(c *optext.Config) error {
	if len(r) == 0 {
		return nil
	}
	for _, route := range c.Routes {
		if err := r.check("route "+route.Name, route.Regions); err != nil {
			return err
		}
	}
	for _, customer := range c.Customers {
		if err := r.check("customer "+customer.Name, customer.Regions); err != nil {
			return err
		}
	}
	return nil
}

func (r Regions) check(who string, regions []string) error {
	for _, region := range regions {
		if !r.known(region) {
			return errors.Annotatef(ErrRegion, "%s may be served in %q only, where no data centre is known; known are %s", who, region, strings.Join(r.names(), ", "))
		}
	}
	return nil
}

func (r Regions) known(region string) bool {
	for _, x := range r {
		if x == region {
			return true
		}
	}
	return false
}

func (r Regions) names() []string {
	var out []string
	for _, x := range r {
		if !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	slices.Sort(out)
	return out
}

// Within returns the data centres that all of the lists of regions allow. A list that is empty allows all; so
// does the zero value of the result.
func (r Regions) Within(lists ...[]string) Within {
	var w Within
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		var in []string
		for dataCenter, region := range r {
			if slices.Contains(list, region) && w.Has(dataCenter) {
				in = append(in, dataCenter)
			}
		}
		slices.Sort(in)
		w = Within{Bound: true, DataCenters: in}
	}
	return w
}

// Within are the data centres in which a call may be served.
type Within struct {
	Bound       bool     `json:"bound,omitempty"` // false: in all
	DataCenters []string `json:"data_centers,omitempty"`
}

// Has reports whether the call may be served in the data centre.
func (w Within) Has(dataCenter string) bool {
	return !w.Bound || slices.Contains(w.DataCenters, dataCenter)
}
