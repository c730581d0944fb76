package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/kataras/iris/v12"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// tenantChanges returns the changes that declare a tenant with a key.
func tenantChanges(t *testing.T, name, key string, version, revision uint64) table.Changes {
	t.Helper()
	spec, err := json.Marshal(&v1.TenantSpec{KeySHA256: v1.HashKey(key)})
	if err != nil {
		t.Fatal(err)
	}
	body, err := cbor.Marshal(resource.Change{Kind: v1.KindTenant, Name: name, Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	row := table.Row{
		Key:     table.Key{Partition: resource.Group, Sort: string(v1.KindTenant) + "/" + name},
		Version: version, Body: body,
	}
	return table.Changes{Changes: []table.Change{{Row: row}}, Revision: revision}
}

// authenticationStatus returns how a server answers a request with an Authorization header.
func authenticationStatus(t *testing.T, s *Server, authorization string) *httptest.ResponseRecorder {
	t.Helper()
	app := iris.New()
	app.Get("/", s.authenticate, func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	app.ServeHTTP(recorder, request)
	return recorder
}

// TestAuthenticate_UnknownKeyInAnOldConfiguration guards against a node that answers 401, which callers do not
// repeat, to a key that may have been added since it last heard of the configuration.
func TestAuthenticate_UnknownKeyInAnOldConfiguration(t *testing.T) {
	store := resource.NewStore(nil)
	store.Apply(tenantChanges(t, "a", "key-a", 1, 1), true)
	for name, c := range map[string]struct {
		authorization string
		current       bool
		want          int
	}{
		"known":                       {"Bearer key-a", true, http.StatusOK},
		"known, old configuration":    {"Bearer key-a", false, http.StatusOK},
		"unknown":                     {"Bearer key-b", true, http.StatusUnauthorized},
		"unknown, old configuration":  {"Bearer key-b", false, http.StatusServiceUnavailable},
		"none, old configuration":     {"", false, http.StatusUnauthorized},
		"no token, old configuration": {"Basic key-b", false, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{options: Options{Current: func() bool { return c.current }}, tenants: newTenantIndex(store)}
			answer := authenticationStatus(t, s, c.authorization)
			if answer.Code != c.want {
				t.Errorf("status %d, want %d", answer.Code, c.want)
			}
			if retryAfter := answer.Header().Get("Retry-After"); (retryAfter != "") != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After is %q", retryAfter)
			}
		})
	}
}

// TestTenantIndex_ChangeBeyondTheRevisionOfAWholeRead guards against a key that is refused though the
// configuration in force has it: the later pages of a whole read may bring changes at the revision that the
// index was built for.
func TestTenantIndex_ChangeBeyondTheRevisionOfAWholeRead(t *testing.T) {
	store := resource.NewStore(nil)
	index := newTenantIndex(store)
	store.Apply(tenantChanges(t, "a", "key-a", 1, 1), true)
	if _, ok := index.find("key-a"); !ok {
		t.Error("the first key is not found")
	}
	store.Apply(tenantChanges(t, "b", "key-b", 2, 1), true)
	if _, ok := index.find("key-b"); !ok {
		t.Error("the key of the whole read is not found")
	}
}
