package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/platform"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// changingGateway is a gateway whose configuration changes each time that a request has found its route.
type changingGateway struct {
	*Gateway
	change func()
}

// Routes implements platform.Gateway.
func (g *changingGateway) Routes() *route.Table {
	defer g.change()
	return g.Gateway.Routes()
}

// TestGateway_RequestIsIdentifiedByTheConfigurationOfItsRoute guards against a request that is refused as
// unauthorized though every configuration allows it, because its key is looked up in a newer configuration
// than its route.
func TestGateway_RequestIsIdentifiedByTheConfigurationOfItsRoute(t *testing.T) {
	site := newKeyedSite(t, []standin.Tenant{{Name: "a", Keys: []string{"a1"}}})
	gateway := site.start("n")
	changing := &changingGateway{Gateway: gateway, change: func() {
		// The key is dropped, and the route becomes public.
		config := standin.NewConfigWithTenants(3, siteHost, 1000, twoTenants()[1:2], "resume").(map[string]any)
		setInRoutes(config, "public", true)
		site.store.Put("op", "config", config)
		site.eventually("configuration in force", func() bool { return gateway.routes.Load().Version == 3 })
	}}
	front := &platform.Front{Gateway: changing}
	for _, when := range []string{"before", "after"} {
		request := httptest.NewRequest(http.MethodPost, "http://"+siteHost+"/resume/x", strings.NewReader("prompt"))
		request.Header = withKey("a1")
		request.Header.Set("Request-Id", "q-"+when)
		recorder := httptest.NewRecorder()
		front.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK || recorder.Body.String() != wholeStream() {
			t.Errorf("route found %s the change: status %d, body %q", when, recorder.Code, recorder.Body)
		}
	}
}
