package replica

const (
	// slopeMemory is the effective number of observations that a slope is estimated from.
	slopeMemory = 200
	// slopeMinCount is the minimum number of observations, and slopeMinSpread the minimum
	// standard deviation of x relative to its mean, for an estimate.
	slopeMinCount  = 20
	slopeMinSpread = 0.3
)

// slope estimates how y grows with x, by least squares over the newest observations. The zero
// value is empty.
type slope struct {
	count, meanX, meanY, varX, covXY float64
}

// add adds an observation.
func (s *slope) add(x, y float64) {
	s.count = min(s.count+1, slopeMemory)
	weight := 1 / s.count
	deltaX, deltaY := x-s.meanX, y-s.meanY
	s.meanX += weight * deltaX
	s.meanY += weight * deltaY
	s.varX = (1 - weight) * (s.varX + weight*deltaX*deltaX)
	s.covXY = (1 - weight) * (s.covXY + weight*deltaX*deltaY)
}

// get returns the slope. It returns false if there are too few observations or their x differ too
// little.
func (s *slope) get() (float64, bool) {
	if s.count < slopeMinCount || s.varX < slopeMinSpread*slopeMinSpread*s.meanX*s.meanX {
		return 0, false
	}
	return s.covXY / s.varX, true
}
