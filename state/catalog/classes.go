package catalog

import "slices"

// HasClasses reports whether routes or customers differ in priority. Otherwise all
// operations are of one class, and no class is sent with statements.
func (c *Config) HasClasses() bool { return c.classes }

func hasClasses(c *Config) bool {
	for i := range c.Routes {
		if c.Routes[i].Priority != c.Routes[0].Priority {
			return true
		}
	}
	for i := range c.Customers {
		if c.Customers[i].Priority != c.Customers[0].Priority {
			return true
		}
	}
	return false
}

// CustomerPriority returns the priority of the named customer, or 0 if it is not
// configured.
func (c *Config) CustomerPriority(name string) int {
	if customer := c.byName[name]; customer != nil {
		return customer.Priority
	}
	return 0
}

// RouteRank returns the number of different priorities of routes that are higher than that of
// the route.
func (c *Config) RouteRank(route *Route) int {
	rank := 0
	for i := range c.Routes {
		p := c.Routes[i].Priority
		first := !slices.ContainsFunc(c.Routes[:i], func(r Route) bool { return r.Priority == p })
		if p < route.Priority && first {
			rank++
		}
	}
	return rank
}
