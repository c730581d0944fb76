package replica

import "fmt"

// ItemCapacity is what decides how many items of a node may run in a pool. As an error it is why
// there is no room.
type ItemCapacity struct {
	// Share counts the node's slots that take items, Items its items there, Borrowed those
	// in slots of others.
	Share, Items, Borrowed int
	// Needed is the number of its slots that online requests need, Rounding what is added
	// before the room is rounded down.
	Needed, Rounding float64
	// FleetUsage is the part of all slots that online requests need, Idle the number of idle slots
	// less those borrowed, by the nodes that told of late; Heard tells that others did.
	FleetUsage, Idle float64
	HasReports       bool
}

// Free is the number of items that may begin; negative if some are to leave.
func (r ItemCapacity) Free() int { return int(float64(r.Share)-r.Needed+r.Rounding) - r.Items }

// Error implements error.
func (r ItemCapacity) Error() string {
	reports := "no word of other nodes"
	if r.HasReports {
		reports = fmt.Sprintf("others tell of %.2f needed, %.1f slots idle", r.FleetUsage, r.Idle)
	}
	return fmt.Sprintf("%d slots, %.2f needed by online requests, rounding %.2f, %d items, %d in borrowed slots; %s",
		r.Share, r.Needed, r.Rounding, r.Items, r.Borrowed, reports)
}
