package replica

import "time"

// allowsSoftware reports whether the criteria allow the software version of a replica.
func (c *Criteria) allowsSoftware(info *Info) bool {
	return c.SoftwareVersion == nil || *c.SoftwareVersion == info.SoftwareVersion
}

// excludesSoftware reports whether the criteria exclude an entry for its software version. A draining
// replica does not count as one of its version, so that requests do not wait for it.
func (c *Criteria) excludesSoftware(e *entry) bool {
	return c.SoftwareVersion != nil && (e.info.Leaving || !c.allowsSoftware(&e.info))
}

// SoftwareVersion returns the software version of the start of the replica that answers the request.
// certain is false if that may be a start which the list does not show yet, or one of two starts of
// different versions.
func (u *Use) SoftwareVersion(now time.Time) (version string, certain bool) {
	u.set.mu.Lock()
	defer u.set.mu.Unlock()
	return u.entry.info.SoftwareVersion, !u.softwareUncertain && !u.entry.sentToSuccessor(u, now)
}
