package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// withKey returns the headers of a caller with a key.
func withKey(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

func twoTenants() []standin.Tenant {
	return []standin.Tenant{{Name: "a", Keys: []string{"a1", "a2"}}, {Name: "b", Keys: []string{"b1"}}, {Name: "c"}}
}

// newKeyedSite returns a site whose callers need keys.
func newKeyedSite(t *testing.T, tenants []standin.Tenant) *gatewaySite {
	site := newGatewaySite(t, 1)
	site.configureKeyed(2, tenants)
	return site
}

func (s *gatewaySite) configureKeyed(version int, tenants []standin.Tenant) {
	s.store.Put("op", "config", standin.NewConfigWithTenants(version, siteHost, 1000, tenants, "resume", "open"))
}

func TestGateway_KeyBecomesTheTenant(t *testing.T) {
	site := newKeyedSite(t, twoTenants())
	gateway := site.start("n")
	forged := withKey("a1")
	forged["Tenant"] = []string{"b"}
	cases := []struct {
		name, path string
		header     http.Header
		status     int
		tenant     string
	}{
		{"first key", "/resume/x", withKey("a1"), http.StatusOK, "a"},
		{"second key", "/resume/x", withKey("a2"), http.StatusOK, "a"},
		{"another tenant", "/resume/x", withKey("b1"), http.StatusOK, "b"},
		{"a tenant named by the caller", "/resume/x", forged, http.StatusOK, "a"},
		{"no key", "/resume/x", nil, http.StatusUnauthorized, ""},
		{"a tenant but no key", "/resume/x", http.Header{"Tenant": {"a"}}, http.StatusUnauthorized, ""},
		{"unknown key", "/resume/x", withKey("z"), http.StatusUnauthorized, ""},
		{"two keys", "/resume/x", http.Header{"Authorization": {"Bearer a1", "Bearer b1"}}, http.StatusUnauthorized, ""},
		{"another scheme", "/resume/x", http.Header{"Authorization": {"Basic a1"}}, http.StatusUnauthorized, ""},
		{"public without a key", "/open/x", http.Header{"Tenant": {"a"}}, http.StatusOK, ""},
		{"public with a key", "/open/x", withKey("b1"), http.StatusOK, "b"},
		{"public with an unknown key", "/open/x", withKey("z"), http.StatusOK, ""},
		{"no route", "/nowhere/x", nil, http.StatusNotFound, ""},
	}
	for number, tt := range cases {
		id := fmt.Sprintf("q%d", number)
		before := len(site.servers[0].Runs())
		status, _, _ := site.callWith(gateway, http.MethodPost, tt.path, id, nil, tt.header)
		if status != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, status, tt.status)
		}
		for _, run := range site.servers[0].Runs()[before:] {
			if got := run.Header.Get("Tenant"); status != http.StatusOK || got != tt.tenant || run.Header.Get("Authorization") != "" {
				t.Errorf("%s: ran with headers %v, want tenant %q and no key", tt.name, run.Header, tt.tenant)
			}
		}
	}
}

func TestGateway_JobBelongsToItsTenant(t *testing.T) {
	site := newKeyedSite(t, twoTenants())
	gateway := site.start("n")
	body := jobBody("j", 2)
	if status, _, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", body); status != http.StatusUnauthorized {
		t.Errorf("submission without a key: %d", status)
	}
	if status, text, _ := site.callWith(gateway, http.MethodPost, "/batch/j", "j", body, withKey("a1")); status != http.StatusAccepted {
		t.Fatalf("submission: %d %s", status, text)
	}
	if status, _, _ := site.callWith(gateway, http.MethodPost, "/batch/j", "j", body, withKey("b1")); status != http.StatusConflict {
		t.Errorf("submission of another tenant's job: %d", status)
	}
	// Removing a key ends no job, and the tenant's other keys give access to it.
	site.configureKeyed(3, []standin.Tenant{{Name: "a", Keys: []string{"a2"}}, {Name: "b", Keys: []string{"b1"}}})
	site.eventually("key gone", func() bool {
		status, _, _ := site.callWith(gateway, http.MethodGet, "/v1/lots/j?sinceRev=0", "r", nil, withKey("a1"))
		return status == http.StatusUnauthorized
	})
	site.eventually("job done", func() bool {
		status, _, _ := site.callWith(gateway, http.MethodGet, "/v1/lots/j?sinceRev=1", "r", nil, withKey("a2"))
		return status == http.StatusOK && len(site.servers[0].Runs()) == 2
	})
	for _, run := range site.servers[0].Runs() {
		if run.Header.Get("Tenant") != "a" || run.Header.Get("Authorization") != "" {
			t.Errorf("an item ran with headers %v", run.Header)
		}
	}
	for key, want := range map[string]int{"a2": http.StatusOK, "b1": http.StatusNotFound, "z": http.StatusUnauthorized} {
		for method, path := range map[string]string{http.MethodGet: "/v1/lots/j?sinceRev=0", http.MethodDelete: "/v1/lots/j"} {
			if status, _, _ := site.callWith(gateway, method, path, "r", nil, withKey(key)); status != want {
				t.Errorf("%s with key %s: %d, want %d", method, key, status, want)
			}
		}
		if status, _, _ := site.callWith(gateway, http.MethodGet, "/v1/items/j?id=j-0", "r", nil, withKey(key)); status != want {
			t.Errorf("body with key %s: %d, want %d", key, status, want)
		}
	}
}

// TestGateway_TokenQuotaIsPerTenant checks that each tenant may use the whole quota.
func TestGateway_TokenQuotaIsPerTenant(t *testing.T) {
	site := newKeyedSite(t, twoTenants())
	site.setBehaviour(standin.Hang, 1<<30)
	gateway := site.start("n")
	submit := func(id, key string, items int) int {
		status, _, _ := site.callWith(gateway, http.MethodPost, "/batch/"+id, id, jobBody(id, items), withKey(key))
		return status
	}
	for _, tt := range []struct {
		id, key       string
		items, status int
	}{
		{"a-fits", "a1", 8, http.StatusAccepted}, {"a-over", "a2", 8, http.StatusTooManyRequests},
		{"b-fits", "b1", 8, http.StatusAccepted}, {"a-rest", "a1", 2, http.StatusAccepted},
		{"b-over", "b1", 3, http.StatusTooManyRequests},
	} {
		if status := submit(tt.id, tt.key, tt.items); status != tt.status {
			t.Errorf("job %s: %d, want %d", tt.id, status, tt.status)
		}
	}
}

func TestGateway_InvalidTenantsLeaveTheLastConfigurationInForce(t *testing.T) {
	site := newKeyedSite(t, twoTenants())
	gateway := site.start("n")
	for version, tenants := range [][]standin.Tenant{
		{{Name: "a", Keys: []string{"x"}}, {Name: "b", Keys: []string{"x"}}},
		{{Name: "a", Keys: []string{"x"}}, {Name: "a", Keys: []string{"y"}}},
		{{Name: "", Keys: []string{"x"}}},
		{{Name: "a", Keys: []string{"x"}, Rate: -1}},
	} {
		site.configureKeyed(10+version, tenants)
	}
	site.configureKeyed(20, []standin.Tenant{{Name: "a", Keys: []string{"a1", "good"}}})
	site.eventually("good version in force", func() bool { return gateway.routes.Load().Version == 20 })
	if status, _, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q", nil, withKey("good")); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status, _, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q2", nil, withKey("x")); status != http.StatusUnauthorized {
		t.Fatalf("a key of a refused configuration: status %d", status)
	}
}

// TestGateway_KeysWhileTheStoreIsDown checks that known keys stay valid during an outage of the
// store. Unknown keys may be new, so such requests are refused as not run, not as unauthorized.
func TestGateway_KeysWhileTheStoreIsDown(t *testing.T) {
	site := newKeyedSite(t, twoTenants())
	gateway := site.start("n")
	bounded := site.start("bounded")
	bounded.settings.Gateway.MaxConfigAge = v1.Duration(2 * time.Second)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	site.eventually("configuration old", func() bool {
		return gateway.configWatch.Age() > staleKeyAge && bounded.configWatch.Age() > staleKeyAge
	})
	for _, tt := range []struct {
		gateway *Gateway
		key     string
		status  int
	}{
		{gateway, "a1", http.StatusOK}, {gateway, "new", http.StatusServiceUnavailable},
		{bounded, "a1", http.StatusServiceUnavailable}, {bounded, "new", http.StatusServiceUnavailable},
	} {
		status, _, header := site.callWith(tt.gateway, http.MethodPost, "/resume/x", "q-"+tt.key, nil, withKey(tt.key))
		if status != tt.status || (status != http.StatusOK && header.Get("Retry-After") == "") {
			t.Errorf("key %s at %s: status %d with headers %v, want %d", tt.key, tt.gateway.settings.Node.ID, status, header, tt.status)
		}
	}
	if status, _, _ := site.call(gateway, http.MethodPost, "/resume/x", "none", nil); status != http.StatusUnauthorized {
		t.Errorf("no key: status %d", status)
	}
}
