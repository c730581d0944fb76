package forward

import (
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// What two software versions of a model server write does not fit together, and model servers do not
// check this. From its first event on, a stream is continued only by the version that began it.

// ErrOtherSoftware reports that an answer may come from another software version than the one that
// began its stream.
var ErrOtherSoftware = errors.New("answer may be of another software version than its stream")

// requireSoftware is called before the first event of an attempt is relayed. If the event begins the
// stream, the software version of its replica becomes the only one allowed. Otherwise an error means
// that the event must not be relayed.
func (c *call) requireSoftware(use *replica.Use, now time.Time) error {
	version, certain := use.SoftwareVersion(now)
	switch {
	case c.criteria.SoftwareVersion == nil:
		c.criteria.SoftwareVersion, c.softwareUncertain = &version, !certain
		return nil
	case !certain || version != *c.criteria.SoftwareVersion:
		return outcome.AsUnknown(ErrOtherSoftware)
	default:
		return nil
	}
}

// checkSoftware is called once an attempt that relayed events has ended. The replica may have been
// found to have restarted with another software version meanwhile.
func (c *call) checkSoftware(use *replica.Use, now time.Time) {
	version, certain := use.SoftwareVersion(now)
	if !certain || version != c.requiredSoftware() {
		c.softwareUncertain = true
	}
}

// requiredSoftware returns the software version that began the stream; empty if none has.
func (c *call) requiredSoftware() string {
	if c.criteria.SoftwareVersion == nil {
		return ""
	}
	return *c.criteria.SoftwareVersion
}
