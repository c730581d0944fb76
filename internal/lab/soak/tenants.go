package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// Tenants of a soak. tenantMain has no limit, tenantLimited exceeds its limit at all nodes, and
// tenantFlood exceeds its limit at a node that is cut off from the store.
const (
	tenantMain    = "main"
	tenantLimited = "limited"
	tenantFlood   = "flood"
	// limitRate is in requests per second and limitBurst in requests, both over all nodes.
	// limitSlack is the number of requests that may exceed them in a window, as in the slack of the
	// quota settings.
	limitRate   = 4.0
	limitBurst  = 4.0
	limitSlack  = 20.0
	limitWindow = 5 * time.Second
)

// apiKey returns the API key of a tenant.
func apiKey(tenant string) string { return "key-of-" + tenant }

// tenants returns the declarations of the tenants.
func tenants() []standin.Tenant {
	return []standin.Tenant{
		{Name: tenantMain, Keys: []string{apiKey(tenantMain)}},
		{Name: tenantLimited, Keys: []string{apiKey(tenantLimited)}, Rate: limitRate, Burst: limitBurst},
		{Name: tenantFlood, Keys: []string{apiKey(tenantFlood)}, Rate: limitRate, Burst: limitBurst},
	}
}

// checkTenants checks that servers receive the name of the requesting tenant and no API key. Items
// belong to tenantMain.
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

// checkLimit checks that the requests of a tenant that run in any window are within its limit and
// the tolerance, whichever nodes are connected.
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

// limitDetail describes which nodes received the requests of a tenant that ran in the window from a
// time on, and how nodes were disturbed around it.
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

// maxInWindow returns the maximum number of times in any window of a length, and the start of that
// window. It sorts times.
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
