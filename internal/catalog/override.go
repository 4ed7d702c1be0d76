package catalog

import "knotrouter/internal/endpoints"

// setOverride sets the weight or health that an operator chose for a server. Both persist when the
// server restarts.
func (s *State) setOverride(c *Command) Result {
	entry := s.Entries[c.Name]
	switch {
	case entry == nil || entry.Removed:
		return s.reject(Unknown, "no server %s", c.Name)
	case c.Weight != nil && !endpoints.IsWeight(*c.Weight):
		return s.reject(Invalid, "share: must be 0 or above and at most 1e6")
	case c.Health != nil && !isHealthOverride(*c.Health):
		return s.reject(Invalid, "health: must be ready, draining or empty, is %q", *c.Health)
	case c.IfVersion != 0 && c.IfVersion != entry.Version:
		return s.reject(Conflict, "%s has version %d", c.Name, entry.Version)
	}
	if c.Weight != nil {
		weight := *c.Weight
		entry.WeightOverride = &weight
	}
	if c.Health != nil {
		entry.HealthOverride = *c.Health
	}
	s.recordChange(entry)
	return s.done()
}

// isHealthOverride reports whether an operator may set this health; "" clears the override.
func isHealthOverride(health string) bool {
	return health == "" || health == endpoints.Ready || health == endpoints.Draining
}
