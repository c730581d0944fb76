package settings

import (
	"slices"
	"testing"
)

// Guards against seeds that name other ports of the nodes' machines, or this node itself, being asked as they are.
func TestGateway_SeedAddresses(t *testing.T) {
	gateway := Gateway{Peers: "10.1.0.10:7720", Seeds: []string{"10.1.0.10:8166", "10.2.0.40:8166", "10.2.0.40:8166", "10.3.0.7:9000"}, SeedPort: 7720}
	if got, want := gateway.SeedAddresses(), []string{"10.2.0.40:7720", "10.3.0.7:7720"}; !slices.Equal(got, want) {
		t.Errorf("with a port: %v, want %v", got, want)
	}
	gateway.SeedPort = 0
	if got, want := gateway.SeedAddresses(), []string{"10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:9000"}; !slices.Equal(got, want) {
		t.Errorf("without a port: %v, want %v", got, want)
	}
}

// Guards against seeds that no node could be reached at, or that nobody can use, being accepted.
func TestValidate_Seeds(t *testing.T) {
	for name, gateway := range map[string]Gateway{
		"no port":       {Peers: "10.1.0.10:7720", Seeds: []string{"10.1.0.11"}},
		"a name":        {Peers: "10.1.0.10:7720", Seeds: []string{"machine:7720"}},
		"no peers":      {Seeds: []string{"10.1.0.11:7720"}},
		"too many":      {Peers: "10.1.0.10:7720", Seeds: slices.Repeat([]string{"10.1.0.11:7720"}, maxSeeds+1)},
		"no such port":  {Peers: "10.1.0.10:7720", SeedPort: maxPort + 1},
		"negative port": {Peers: "10.1.0.10:7720", SeedPort: -1},
	} {
		found := validateSettings(gateway)
		if !slices.ContainsFunc(found, func(path string) bool { return path == "gateway.seeds" || path == "gateway.seedPort" }) {
			t.Errorf("%s: accepted, findings at %v", name, found)
		}
	}
	if found := validateSettings(Gateway{Peers: "10.1.0.10:7720", Seeds: []string{"10.1.0.11:7720"}}); slices.Contains(found, "gateway.seeds") {
		t.Error("a good seed is not accepted")
	}
}

// validateSettings returns the paths of the findings about a gateway.
func validateSettings(gateway Gateway) []string {
	gateway.Store = "store:80"
	settings := Settings{Gateway: gateway}
	var paths []string
	for _, finding := range settings.Validate() {
		paths = append(paths, finding.Path)
	}
	return paths
}
