package sse

// Progress tells the events of one answer that go on from those that come once more. The zero value is ready
// to use. It is not safe for concurrent use.
type Progress struct {
	// lastID is the highest ID so far.
	lastID int
	// repeated are the bytes since the last event that went on.
	repeated int
}

// Observe reports whether an event has a higher ID than all before it. It returns ErrTooLong once those that
// do not have brought more than MaxEventBytes in a row.
func (p *Progress) Observe(event Event) (bool, error) {
	if event.HasID && event.ID > p.lastID {
		p.lastID, p.repeated = event.ID, 0
		return true, nil
	}
	p.repeated += len(event.Raw)
	if p.repeated > MaxEventBytes {
		return false, ErrTooLong
	}
	return false, nil
}
