package replica

const (
	// slopeMemory is the number of observations that a slope is learned from.
	slopeMemory = 200
	// slopeMinCount is the least number of them, and slopeSpread the least spread
	// of x against its mean, from which a slope is told.
	slopeMinCount  = 20
	slopeMinSpread = 0.3
)

// slope learns how y grows with x, by least squares over the newest
// observations. The zero value knows nothing.
type slope struct {
	count, meanX, meanY, varX, covXY float64
}

// add takes in an observation.
func (s *slope) add(x, y float64) {
	s.count = min(s.count+1, slopeMemory)
	weight := 1 / s.count
	fromX, fromY := x-s.meanX, y-s.meanY
	s.meanX += weight * fromX
	s.meanY += weight * fromY
	s.varX = (1 - weight) * (s.varX + weight*fromX*fromX)
	s.covXY = (1 - weight) * (s.covXY + weight*fromX*fromY)
}

// get returns the slope, or false as long as it cannot be told.
func (s *slope) get() (float64, bool) {
	if s.count < slopeMinCount || s.varX < slopeMinSpread*slopeMinSpread*s.meanX*s.meanX {
		return 0, false
	}
	return s.covXY / s.varX, true
}
