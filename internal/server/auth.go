package server

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/resource"
)

// tenant is an authenticated caller and its limits.
type tenant struct {
	name   string
	limits admission.Limits
}

// tenantIndex finds tenants by the hash of their key. find rebuilds the index after a change of the
// configuration.
type tenantIndex struct {
	store   *resource.Store
	current atomic.Pointer[tenantTable]
}

// tenantTable is the index of one snapshot of the configuration. A revision does not identify a snapshot:
// the later pages of a whole read bring changes beyond its revision.
type tenantTable struct {
	snapshot *resource.Snapshot
	byKey    map[string]tenant
}

func newTenantIndex(store *resource.Store) *tenantIndex {
	index := &tenantIndex{store: store}
	index.current.Store(&tenantTable{byKey: map[string]tenant{}})
	return index
}

func (i *tenantIndex) find(key string) (tenant, bool) {
	snapshot := i.store.Snapshot()
	table := i.current.Load()
	if table.snapshot != snapshot {
		table = buildTenants(snapshot)
		i.current.Store(table)
	}
	found, ok := table.byKey[v1.HashKey(key)]
	return found, ok
}

func buildTenants(snapshot *resource.Snapshot) *tenantTable {
	table := &tenantTable{snapshot: snapshot, byKey: map[string]tenant{}}
	for _, entry := range snapshot.List(v1.KindTenant) {
		spec, ok := entry.Spec.(*v1.TenantSpec)
		if !ok {
			continue
		}
		table.byKey[spec.KeySHA256] = tenant{
			name: entry.Change.Name,
			limits: admission.Limits{
				RequestsPerSecond: spec.RequestsPerSecond, TokensPerSecond: spec.TokensPerSecond,
				Concurrency: spec.Concurrency, Weight: spec.Weight,
			},
		}
	}
	return table
}

// bearerToken returns the token of the Authorization header, or "" if there is none.
func bearerToken(header http.Header) string {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// IsOperator reports whether the request header holds the operators' key. keySHA256 is the hash of
// that key in the settings; if it is empty, the result is always false.
func IsOperator(header http.Header, keySHA256 string) bool {
	return subtle.ConstantTimeCompare([]byte(v1.HashKey(bearerToken(header))), []byte(keySHA256)) == 1
}

const tenantContextKey = "tenant"

// authenticate is the middleware that finds the calling tenant by its key and refuses unknown keys. While
// this node's view of the configuration is not current, an unknown key may have been added meanwhile, and
// another node may know it.
func (s *Server) authenticate(ctx iris.Context) {
	ctx.Header(HeaderNode, s.options.NodeID)
	token := bearerToken(ctx.Request().Header)
	// Read before the lookup: a configuration that arrives in between must not make an older one count
	// as current.
	current := s.options.Current()
	found, ok := s.tenants.find(token)
	if !ok && token != "" && !current {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeServer, "the configuration is too old to verify the key", storeRetryAfter)
		return
	}
	if !ok {
		refuse(ctx, iris.StatusUnauthorized, openai.TypeAuthentication, "the key is not known", 0)
		return
	}
	ctx.Values().Set(tenantContextKey, found)
	ctx.Next()
}

// callingTenant returns the tenant that authenticate found.
func callingTenant(ctx iris.Context) tenant {
	found, _ := ctx.Values().Get(tenantContextKey).(tenant)
	return found
}

// requireOperator is the middleware that refuses requests without the operators' key.
func (s *Server) requireOperator(ctx iris.Context) {
	ctx.Header(HeaderNode, s.options.NodeID)
	if !IsOperator(ctx.Request().Header, s.options.OperatorKeySHA256) {
		refuse(ctx, iris.StatusForbidden, openai.TypePermission, "this needs the operators' key", 0)
		return
	}
	ctx.Next()
}
