package node

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/server"
)

func TestGateway_StatusShowsReplicasAndConfiguration(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("front-1")
	response, err := http.Get("http://" + gateway.settings.Gateway.Metrics + server.PathStatus)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var status server.NodeStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	if status.Node != "front-1" || status.Revision != 1 || !status.Serving || len(status.Replicas) != 2 {
		t.Fatalf("status is %+v", status)
	}
	if status.ConfigAge > 5 {
		t.Fatalf("configuration is %.1f s old", status.ConfigAge)
	}
}
