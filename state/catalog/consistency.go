package catalog

// String returns the name of the level for operators.
func (c Consistency) String() string {
	switch c {
	case Latest:
		return "latest"
	case BoundedStale:
		return "bounded staleness"
	case ReadYourWrites:
		return "read your writes"
	}
	return "unknown"
}
