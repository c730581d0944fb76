package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Tenants of a soak: one without a limit, one that asks for far more than its own at all
// nodes, and one that does so at a node which is cut off from the store.
const (
	tenantMain    = "main"
	tenantLimited = "limited"
	tenantFlood   = "flood"
	// limitRate is in requests a second, limitBurst in requests, over all nodes;
	// limitSlack is what may be let through beyond them in a window, as the users'
	// shifted deployment states it.
	limitRate   = 4.0
	limitBurst  = 4.0
	limitSlack  = 20.0
	limitWindow = 5 * time.Second
)

// apiKey is a tenant's key.
func apiKey(tenant string) string { return "key-of-" + tenant }

func tenants() []standin.Tenant {
	return []standin.Tenant{
		{Name: tenantMain, Keys: []string{apiKey(tenantMain)}},
		{Name: tenantLimited, Keys: []string{apiKey(tenantLimited)}, Rate: limitRate, Burst: limitBurst},
		{Name: tenantFlood, Keys: []string{apiKey(tenantFlood)}, Rate: limitRate, Burst: limitBurst},
	}
}

// checkTenants: servers are told the tenant that asked and nobody's key. Items are the main
// tenant's.
func (c *checker) checkTenants() {
	tenantOf := map[string]string{}
	for _, request := range c.Requests {
		tenantOf[request.ID] = request.Tenant
	}
	for _, run := range c.Runs {
		want, online := tenantOf[run.ID]
		if !online {
			want = tenantMain
		}
		if got := run.Header.Get("Tenant"); got != want {
			c.addViolation(KeyNotForwarded, "%s ran as tenant %q, it is of %q", run.ID, got, want)
		}
		if run.Header.Get("Authorization") != "" {
			c.addViolation(KeyNotForwarded, "%s ran with a key", run.ID)
		}
	}
}

// checkLimit: in no window more of a limited tenant's requests run than its checkLimit and the
// tolerance allow, whatever nodes are in touch.
func (c *checker) checkLimit(tenant string, promise Promise) {
	seen := map[string]bool{}
	var starts []time.Time
	for _, run := range c.Runs {
		if run.Header.Get("Tenant") == tenant && !seen[run.ID] {
			seen[run.ID] = true
			starts = append(starts, run.At)
		}
	}
	allowed := (limitRate*limitWindow.Seconds()+limitBurst)*(1+quotaTolerance) + limitSlack
	if count, from := maxInWindow(starts, limitWindow); float64(count) > allowed {
		c.addViolation(promise, "%d requests of tenant %s ran in %v from %s on, %.1f are allowed; %s",
			count, tenant, limitWindow, from.Format(time.StampMilli), allowed, c.limitDetail(tenant, from))
	}
}

// limitDetail tells how many of a tenant's requests ran in the window from a moment on, by the
// node that was asked, and how the nodes were disturbed around it.
func (c *checker) limitDetail(tenant string, from time.Time) string {
	to := from.Add(limitWindow)
	nodes := map[string]int{}
	for _, req := range c.Requests {
		for _, run := range c.runs[req.ID][:min(1, len(c.runs[req.ID]))] {
			if req.Tenant == tenant && !run.At.Before(from) && !run.At.After(to) {
				nodes[req.Node]++
			}
		}
	}
	text := fmt.Sprint("by node ", nodes)
	for _, d := range c.Disturbances {
		if d.From.Before(to) && d.To.After(from.Add(-contactBound)) {
			text += fmt.Sprintf("; %q disturbed %v to %v (restart: %t)", d.Name, d.From.Sub(from), d.To.Sub(from), d.Restart)
		}
	}
	return text
}

// maxInWindow returns the largest number of moments in any window of a length, and where that
// begins.
func maxInWindow(times []time.Time, window time.Duration) (count int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		if i-first+1 > count {
			count, from = i-first+1, times[first]
		}
	}
	return count, from
}
