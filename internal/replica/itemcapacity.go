package replica

import "fmt"

// ItemCapacity holds the values that determine how many items of a node may run in a pool. As an
// error it explains why no item may start.
type ItemCapacity struct {
	// Share is the number of the node's slots that accept items, Items the number of its items in
	// them, Borrowed the number of its items in slots of other nodes.
	Share, Items, Borrowed int
	// Needed is the number of its slots that online requests need, Rounding what is added before
	// the capacity is rounded down.
	Needed, Rounding float64
	// FleetUsage is the part of all slots that online requests need, Idle the number of idle
	// slots less the borrowed ones, as recently reported. HasReports is set if other nodes
	// reported.
	FleetUsage, Idle float64
	HasReports       bool
}

// Free returns the number of items that may start; negative if some have to stop.
func (c ItemCapacity) Free() int { return int(float64(c.Share)-c.Needed+c.Rounding) - c.Items }

// Error implements error.
func (c ItemCapacity) Error() string {
	reports := "no reports from other nodes"
	if c.HasReports {
		reports = fmt.Sprintf("other nodes report %.2f needed, %.1f slots idle", c.FleetUsage, c.Idle)
	}
	return fmt.Sprintf("%d slots, %.2f needed by online requests, rounding %.2f, %d items, %d in borrowed slots; %s",
		c.Share, c.Needed, c.Rounding, c.Items, c.Borrowed, reports)
}
