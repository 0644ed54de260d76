package fleetlink

// DecodesClasses reports whether the named VM decodes the class of a statement.
func (l *Links) DecodesClasses(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.hasStatus && p.alive && p.status.Name == vm {
			return p.status.Classes
		}
	}
	return false
}
