package quota

import (
	"testing"
	"time"
)

// TestLimiter_LateGrantAllowsNothingWithoutAQuery guards against a grant that counts as of its arrival: a node
// that was stopped would use capacity that was available before the stop and has been granted to others since.
func TestLimiter_LateGrantAllowsNothingWithoutAQuery(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	for delay, locally := range map[time.Duration]bool{maxGrantAge / 2: true, maxGrantAge: false, 2 * equalShareExpiry: false} {
		limiter := &Limiter{Tolerance: tolerance}
		now := time.Unix(1000, 0)
		for range 10 {
			if _, admitted := limiter.TryAdmit("t", limit, now); admitted {
				t.Fatal("admitted without a grant")
			}
			now = now.Add(10 * time.Millisecond)
		}
		report, ok := limiter.RetryReport("t", now)
		if !ok {
			t.Fatal("no report")
		}
		now = now.Add(delay)
		limiter.RecordGrant(Grant{Tenant: "t", Number: report.Number, Available: 500, Share: 1}, now)
		if _, admitted := limiter.TryAdmit("t", limit, now); admitted != locally {
			t.Errorf("a grant for a report of %v before: a request is admitted without a query: %t, want %t", delay, admitted, locally)
		}
		if again, _ := limiter.RetryReport("t", now); !locally && again.Available > 0 {
			t.Errorf("a grant for a report of %v before: %v is reported as available", delay, again.Available)
		}
	}
}
