package steward

import "time"

const (
	peakBucket  = time.Second
	peakBuckets = 10
)

// peakMeter is the greatest value of the last peakBuckets buckets of time.
type peakMeter struct {
	values [peakBuckets]int
	starts [peakBuckets]time.Time
	at     int
}

func (p *peakMeter) observe(now time.Time, value int) {
	if now.Sub(p.starts[p.at]) >= peakBucket {
		p.at = (p.at + 1) % peakBuckets
		p.starts[p.at] = now
		p.values[p.at] = 0
	}
	p.values[p.at] = max(p.values[p.at], value)
}

func (p *peakMeter) value(now time.Time) int {
	peak := 0
	for i, start := range p.starts {
		if now.Sub(start) < peakBuckets*peakBucket {
			peak = max(peak, p.values[i])
		}
	}
	return peak
}
