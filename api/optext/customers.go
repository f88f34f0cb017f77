package optext

import "maps"

// WithCustomers returns a copy of c in which the customers named in removed
// are gone and those of changed are added or replaced. c stays as it is.
func (c *Config) WithCustomers(removed []string, changed map[string]*Customer) *Config {
	out := *c
	out.Customers = maps.Clone(c.Customers)
	for _, name := range removed {
		delete(out.Customers, name)
	}
	maps.Copy(out.Customers, changed)
	return &out
}
