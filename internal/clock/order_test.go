package clock

import (
	"sync/atomic"
	"testing"
	"time"
)

// slowSource is a boot time whose reading takes some time; the value is as of the begin or the end of that.
type slowSource struct {
	started   time.Time
	suspended atomic.Int64
	late      atomic.Bool
}

func (s *slowSource) read() (time.Duration, bool) {
	const readTime = 100 * time.Microsecond
	began := time.Now()
	value := began.Sub(s.started)
	for time.Since(began) < readTime {
		continue
	}
	if s.late.Load() {
		value = time.Since(s.started)
	}
	return value + time.Duration(s.suspended.Load()), true
}

// Guards against a suspension that is measured shorter than it was, because the two clocks are read one after
// the other: a session would be taken for confirmed for a moment after others may have ended it.
func TestNow_SuspensionIsNeverMeasuredShort(t *testing.T) {
	const suspension = 300 * time.Millisecond
	cases := map[string]struct{ lateBefore, lateAfter bool }{
		"late, then early": {true, false}, "early, then late": {false, true}, "early": {false, false}, "late": {true, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			source := &slowSource{started: time.Now()}
			source.late.Store(tc.lateBefore)
			defer SetBootTimeSource(source.read)()
			// The first call reads the boot time, which takes long; the second one does not.
			Now()
			start, monotonicStart := Now(), time.Now()
			source.late.Store(tc.lateAfter)
			for range 5 {
				source.suspended.Add(int64(suspension))
				ForceCheck()
				elapsed := time.Since(monotonicStart) + time.Duration(source.suspended.Load())
				if measured := Since(start); measured < elapsed {
					t.Errorf("short by %v after suspensions of %v", elapsed-measured, time.Duration(source.suspended.Load()))
				}
			}
		})
	}
}
