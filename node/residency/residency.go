// Package residency determines the data centres in which a call may be served and its data kept.
// Routes and customers name regions; upstreams name data centres.
package residency

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
)

// Regions maps each data centre to its region.
type Regions map[string]string

// ErrUnknownRegion says that a configuration names a region to which no known data centre belongs.
const ErrUnknownRegion = errors.ConstError("residency: unknown region")

// MergeRegions merges the regions from the settings with those of the operators' configuration,
// which take precedence.
func MergeRegions(settings map[string]string, c *optext.Config) Regions {
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

// Check returns an error that wraps ErrUnknownRegion if a route or customer of the configuration names
// an unknown region. Without any known region it checks nothing.
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
			return errors.Annotatef(ErrUnknownRegion, "%s may be served in %q only, where no data centre is known; known are %s", who, region, strings.Join(r.names(), ", "))
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

// Allowed returns the data centres that are allowed by every one of the lists of regions. An empty
// list allows all, as does the zero value of the result.
func (r Regions) Allowed(lists ...[]string) AllowedDataCenters {
	var a AllowedDataCenters
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		var in []string
		for dataCenter, region := range r {
			if slices.Contains(list, region) && a.Contains(dataCenter) {
				in = append(in, dataCenter)
			}
		}
		slices.Sort(in)
		a = AllowedDataCenters{Restricted: true, DataCenters: in}
	}
	return a
}

// AllowedDataCenters is the set of data centres in which a call may be served.
type AllowedDataCenters struct {
	Restricted  bool     `json:"bound,omitempty"` // false: all data centres are allowed
	DataCenters []string `json:"data_centers,omitempty"`
}

// Contains reports whether the call may be served in the data centre.
func (a AllowedDataCenters) Contains(dataCenter string) bool {
	return !a.Restricted || slices.Contains(a.DataCenters, dataCenter)
}
