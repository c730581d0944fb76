package replica

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestSlope_WithNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var s slope
	for range 400 {
		x := 500 + 9000*random.Float64()
		s.add(x, 0.05+x/50000+0.02*random.NormFloat64())
	}
	got, ok := s.get()
	if !ok || math.Abs(got*50000-1) > 0.1 {
		t.Fatalf("slope = %v, %v, want about 1/50000", got, ok)
	}
}

func TestSlope_NoneWithoutSpread(t *testing.T) {
	var s slope
	for range 400 {
		s.add(450, 0.08)
	}
	if got, ok := s.get(); ok {
		t.Fatalf("slope = %v although all x are equal, want none", got)
	}
}
