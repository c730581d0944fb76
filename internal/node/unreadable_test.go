package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/inventory"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// serverRow returns a row of the server list.
func serverRow(id string, version uint64, body string) table.Change {
	return table.Change{Row: table.Row{Key: table.Key{Partition: "servers", Sort: id}, Version: version, Body: []byte(body)}}
}

func serverBody(service string) string {
	return fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`, service)
}

// unreadableCount returns the metric for a table and a reason.
func unreadableCount(t *testing.T, c *core, name, reason string) float64 {
	t.Helper()
	families, err := c.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "wheelhoist_rows_unreadable_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := prometheus.Labels{}
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			if labels["table"] == name && labels["reason"] == reason {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func acceptsRequests(c *core, pool, id string) bool {
	for _, candidate := range c.replicas.Snapshot(pool, 0, time.Now()) {
		if candidate.ID == id && candidate.Share > 0 {
			return true
		}
	}
	return false
}

func unreadableLines(log *bytes.Buffer) int { return strings.Count(log.String(), "row cannot be read") }

// TestApplyReplicas_UnreadableRowRetiresItsReplica overwrites the row of a replica during a
// request. The request continues, no more are sent, its slots are not divided, other replicas are
// unaffected, and it is used again after a readable row.
func TestApplyReplicas_UnreadableRowRetiresItsReplica(t *testing.T) {
	for name, body := range map[string]string{"bytes": "\xff\x00", "no address": `{"service":"llm","zone":"z","slots":8,"state":"ready"}`, "state": strings.Replace(serverBody("llm"), "ready", "resting", 1)} {
		gateway, log := newLoggedGateway(nil)
		gateway.replicas.Divide("n", []place.Node{{ID: "n"}, {ID: "m"}})
		gateway.applyReplicas(table.Changes{Changes: []table.Change{serverRow("a", 1, serverBody("llm")), serverRow("b", 2, serverBody("llm"))}}, true)
		use := gateway.replicas.Begin("a", replica.RequestInfo{}, time.Now())
		log.Reset()
		for range 3 {
			gateway.applyReplicas(table.Changes{Changes: []table.Change{serverRow("a", 3, body)}}, false)
		}
		if acceptsRequests(gateway.core, "llm", "a") || !acceptsRequests(gateway.core, "llm", "b") {
			t.Errorf("%s: a accepts requests, or b does not", name)
		}
		if slots := gateway.replicas.RegionSlots("llm")[""]; slots != 8 {
			t.Errorf("%s: %d slots are divided, want those of b", name, slots)
		}
		if info, ok := gateway.replicas.Get("a"); !ok || info.Address != "10.0.0.1:80" {
			t.Errorf("%s: a is removed during a request", name)
		}
		if unreadableLines(log) != 1 || unreadableCount(t, gateway.core, "servers", "content")+unreadableCount(t, gateway.core, "servers", "encoding") != 1 {
			t.Errorf("%s: logged: %s", name, log)
		}
		use.End(replica.Succeeded, time.Now())
		gateway.applyReplicas(table.Changes{Changes: []table.Change{serverRow("a", 4, serverBody("llm"))}}, false)
		if !acceptsRequests(gateway.core, "llm", "a") {
			t.Errorf("%s: a does not accept requests again", name)
		}
	}
}

// TestApplyReplicas_UnreadableRowOfUnknownReplicaIsSkipped checks that an unreadable row of an
// unknown replica lists nothing.
func TestApplyReplicas_UnreadableRowOfUnknownReplicaIsSkipped(t *testing.T) {
	gateway, log := newLoggedGateway(nil)
	damaged := serverRow("odd", 1, "")
	damaged.Unreadable = fmt.Errorf("no base64")
	gateway.applyReplicas(table.Changes{Changes: []table.Change{damaged, serverRow("b", 2, serverBody("llm"))}}, true)
	if listed, _ := gateway.replicas.Count(time.Now()); listed != 1 || unreadableLines(log) != 1 || unreadableCount(t, gateway.core, "servers", "envelope") != 1 {
		t.Errorf("%d replicas, %s", listed, log)
	}
}

// TestApplyReplicas_UndeclaredServiceIsReported lists replicas of services that the configuration
// does not declare, before and after the configuration is known.
func TestApplyReplicas_UndeclaredServiceIsReported(t *testing.T) {
	gateway, log := newLoggedGateway(nil)
	config := `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","routeType":"stream","service":"llm"}],"services":[{"name":"spare"}]}`
	declare := func(version uint64) {
		body := []byte(fmt.Sprintf(config, version))
		gateway.applyConfig(table.Changes{Changes: []table.Change{{Row: table.Row{Key: table.Key{Partition: "op", Sort: "config"}, Version: version, Body: body}}}}, false)
	}
	gateway.replicaWatch = table.NewWatcher(nil, gateway.applyReplicas)
	gateway.replicaWatch.KeepRows = true
	early := table.Changes{Changes: []table.Change{serverRow("early", 1, serverBody("other"))}}
	gateway.replicaWatch.Seed(early, 0, gateway.applyReplicas)
	if unreadableLines(log) != 0 {
		t.Errorf("reported before the configuration is known: %s", log)
	}
	declare(2)
	declare(3)
	if unreadableLines(log) != 1 || !strings.Contains(log.String(), `"key":"early"`) {
		t.Errorf("the early row is logged as %s", log)
	}
	for range 2 {
		gateway.applyReplicas(table.Changes{Changes: []table.Change{
			serverRow("a", 3, serverBody("llm")), serverRow("s", 4, serverBody("spare")), serverRow("odd", 5, serverBody("other")),
		}}, false)
	}
	if unreadableLines(log) != 2 || unreadableCount(t, gateway.core, "servers", "unknown") != 2 || !strings.Contains(log.String(), `"key":"odd"`) {
		t.Errorf("logged: %s", log)
	}
	if !acceptsRequests(gateway.core, "llm", "a") {
		t.Error("a replica of a declared service accepts no requests")
	}
}

// TestApplyReplicas_UnreadableInventoryRow checks an unreadable row of the product's own inventory.
func TestApplyReplicas_UnreadableInventoryRow(t *testing.T) {
	gateway, log := newLoggedGateway(nil)
	node := &Node{core: gateway.core}
	row := func(version uint64, body []byte) table.Change {
		return table.Change{Row: table.Row{Key: table.Key{Partition: inventory.Group, Sort: "a"}, Version: version, Body: body}}
	}
	valid, err := cbor.Marshal(inventory.Entry{Address: "10.0.0.1:80", Pool: "p", Slots: 4, State: "ready"})
	if err != nil {
		t.Fatal(err)
	}
	node.applyReplicas(table.Changes{Changes: []table.Change{row(1, valid)}}, true)
	node.applyReplicas(table.Changes{Changes: []table.Change{row(2, []byte{0xff})}}, false)
	if info, ok := node.replicas.Get("a"); !ok || !info.Leaving || unreadableLines(log) != 1 {
		t.Errorf("a is %+v, logged: %s", info, log)
	}
	node.applyReplicas(table.Changes{Changes: []table.Change{row(3, valid)}}, false)
	if info, ok := node.replicas.Get("a"); !ok || info.Slots != 4 {
		t.Errorf("a is %+v", info)
	}
}
