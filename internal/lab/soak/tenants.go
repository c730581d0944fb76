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

// keyOf is a tenant's key.
func keyOf(tenant string) string { return "key-of-" + tenant }

func tenants() []standin.Tenant {
	return []standin.Tenant{
		{Name: tenantMain, Keys: []string{keyOf(tenantMain)}},
		{Name: tenantLimited, Keys: []string{keyOf(tenantLimited)}, Rate: limitRate, Burst: limitBurst},
		{Name: tenantFlood, Keys: []string{keyOf(tenantFlood)}, Rate: limitRate, Burst: limitBurst},
	}
}

// tenants: servers are told the tenant that asked and nobody's key. Items are the main
// tenant's.
func (c *check) tenants() {
	of := map[string]string{}
	for _, request := range c.Requests {
		of[request.ID] = request.Tenant
	}
	for _, run := range c.Runs {
		want, online := of[run.ID]
		if !online {
			want = tenantMain
		}
		if got := run.Header.Get("Tenant"); got != want {
			c.broken(TenantNotKey, "%s ran as tenant %q, it is of %q", run.ID, got, want)
		}
		if run.Header.Get("Authorization") != "" {
			c.broken(TenantNotKey, "%s ran with a key", run.ID)
		}
	}
}

// limit: in no window more of a limited tenant's requests run than its limit and the
// tolerance allow, whatever nodes are in touch.
func (c *check) limit(tenant string, promise Promise) {
	seen := map[string]bool{}
	var began []time.Time
	for _, run := range c.Runs {
		if run.Header.Get("Tenant") == tenant && !seen[run.ID] {
			seen[run.ID] = true
			began = append(began, run.At)
		}
	}
	allowed := (limitRate*limitWindow.Seconds()+limitBurst)*(1+quotaOver) + limitSlack
	if count, from := most(began, limitWindow); float64(count) > allowed {
		c.broken(promise, "%d requests of tenant %s ran in %v from %s on, %.1f are allowed; %s",
			count, tenant, limitWindow, from.Format(time.StampMilli), allowed, c.ranBy(tenant, from))
	}
}

// ranBy tells how many of a tenant's requests ran in the window from a moment on, by the
// node that was asked, and how the nodes were disturbed around it.
func (c *check) ranBy(tenant string, from time.Time) string {
	to := from.Add(limitWindow)
	nodes := map[string]int{}
	for _, one := range c.Requests {
		for _, run := range c.runs[one.ID][:min(1, len(c.runs[one.ID]))] {
			if one.Tenant == tenant && !run.At.Before(from) && !run.At.After(to) {
				nodes[one.Node]++
			}
		}
	}
	text := fmt.Sprint("by node ", nodes)
	for _, one := range c.Disturbances {
		if one.From.Before(to) && one.To.After(from.Add(-contactBound)) {
			text += fmt.Sprintf("; %q disturbed %v to %v (restart: %t)", one.Name, one.From.Sub(from), one.To.Sub(from), one.Restart)
		}
	}
	return text
}

// most returns the largest number of moments in any window of a length, and where that
// begins.
func most(moments []time.Time, window time.Duration) (count int, from time.Time) {
	slices.SortFunc(moments, time.Time.Compare)
	first := 0
	for i, at := range moments {
		for at.Sub(moments[first]) > window {
			first++
		}
		if i-first+1 > count {
			count, from = i-first+1, moments[first]
		}
	}
	return count, from
}
