package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_LimitHoldsAcrossAllNodes sends far more requests than a tenant's limit allows to
// three nodes in turn. No more may run than a single bucket would admit, and refusals are immediate
// and have a Retry-After header.
func TestGateway_LimitHoldsAcrossAllNodes(t *testing.T) {
	const rate, burst = 4.0, 8.0
	site := newKeyedSite(t, []standin.Tenant{{Name: "a", Keys: []string{"a1"}, Rate: rate, Burst: burst}, {Name: "b", Keys: []string{"b1"}}})
	var gateways []*Gateway
	for _, id := range []string{"n1", "n2", "n3"} {
		gateways = append(gateways, site.start(id))
	}
	site.eventually("nodes know each other", func() bool {
		for _, gateway := range gateways {
			if gateway.quota.Fleet.Count() != len(gateways) {
				return false
			}
		}
		return true
	})
	start := time.Now()
	ran, refused := 0, 0
	for number := range 120 {
		sentAt := time.Now()
		status, _, header := site.callWith(gateways[number%len(gateways)], http.MethodPost, "/resume/x", fmt.Sprintf("q%d", number), nil, withKey("a1"))
		switch status {
		case http.StatusOK:
			ran++
		case http.StatusTooManyRequests:
			refused++
			if wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || wait <= 0 || wait > 5 {
				t.Fatalf("refused with Retry-After %q", header.Get("Retry-After"))
			}
			if took := time.Since(sentAt); took > time.Second {
				t.Errorf("a refusal took %v", took)
			}
		default:
			t.Fatalf("status %d", status)
		}
	}
	allowed := (burst+rate*time.Since(start).Seconds())*(1+siteQuotaOver) + siteQuotaSlack
	if float64(ran) > allowed || ran < int(burst)/2 || refused == 0 {
		t.Fatalf("%d ran and %d were refused, at most %.1f may run", ran, refused, allowed)
	}
	if status, _, _ := site.callWith(gateways[0], http.MethodPost, "/resume/x", "other", nil, withKey("b1")); status != http.StatusOK {
		t.Fatalf("a tenant without a limit: status %d", status)
	}
}

// TestGateway_StatusShowsTenantsAndNoKeys checks the status and the metrics that operators read.
func TestGateway_StatusShowsTenantsAndNoKeys(t *testing.T) {
	const key = "a-key-that-nobody-may-read"
	site := newKeyedSite(t, []standin.Tenant{{Name: "a", Keys: []string{key}, Rate: 5, Burst: 5}})
	gateway := site.start("n")
	if status, _, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q", nil, withKey(key)); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for _, path := range []string{server.PathStatus, "/metrics"} {
		recorder := httptest.NewRecorder()
		gateway.statusHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if strings.Contains(recorder.Body.String(), key) {
			t.Errorf("%s shows a key", path)
		}
	}
	tenants := gateway.Status().Tenants
	if len(tenants) != 1 || tenants[0].Name != "a" || tenants[0].Rate != 5 || tenants[0].Admitted != 1 || tenants[0].Demand <= 0 {
		t.Fatalf("tenants are %+v", tenants)
	}
}
