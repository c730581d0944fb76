package fleet

import "time"

const (
	peakBucket  = time.Minute
	peakBuckets = 10
)

// PeakMeter is the greatest value of the last peakBuckets buckets of time.
type PeakMeter struct {
	values [peakBuckets]int
	starts [peakBuckets]time.Time
	at     int
}

// Observe takes in a value.
func (p *PeakMeter) Observe(now time.Time, value int) {
	if now.Sub(p.starts[p.at]) >= peakBucket {
		p.at = (p.at + 1) % peakBuckets
		p.starts[p.at] = now
		p.values[p.at] = 0
	}
	p.values[p.at] = max(p.values[p.at], value)
}

// Value returns the peak.
func (p *PeakMeter) Value(now time.Time) int {
	peak := 0
	for i, start := range p.starts {
		if now.Sub(start) < peakBuckets*peakBucket {
			peak = max(peak, p.values[i])
		}
	}
	return peak
}
