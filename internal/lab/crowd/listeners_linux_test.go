package crowd

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// requireReady fails the test unless the readiness listener answers that the node is ready.
func (n *testedNode) requireReady() {
	n.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); time.Since(began) < giveUp; time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + n.readiness + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	n.t.Error("the node does not answer that it is ready")
}

func TestGateway_HeadsHeldOpenAtOtherListeners(t *testing.T) {
	for name, address := range otherListeners() {
		t.Run(name, func(t *testing.T) {
			n := startGateway(t, machine{smallMachine, manyDescriptors})
			hold(n, address(n), 1200, openHead("/", "A: 0123456789012345678901234567890123456789\r\n", 125<<10))
			n.requireReady()
		})
	}
}

func TestGateway_MoreConnectionsThanDescriptorsAtOtherListeners(t *testing.T) {
	for name, address := range otherListeners() {
		t.Run(name, func(t *testing.T) {
			n := startGateway(t, machine{smallMachine, fewDescriptors})
			c := gather(t, address(n), manyConnections, func(io.Writer) error { return nil })
			n.requireAnswer("beside the crowd")
			n.requireReady()
			n.requireBounds()
			c.leave()
			n.requireAnswer("after the crowd")
		})
	}
}

func TestGateway_BodiesHeldOpenAtOtherListeners(t *testing.T) {
	for name, address := range otherListeners() {
		t.Run(name, func(t *testing.T) {
			n := startGateway(t, machine{smallMachine, manyDescriptors})
			hold(n, address(n), 200, announced("/", maxBody, maxBody-1))
			n.requireReady()
		})
	}
}

// otherListeners returns, by name, the addresses of the listeners that are not for callers.
func otherListeners() map[string]func(*testedNode) string {
	return map[string]func(*testedNode) string{
		"readiness": func(n *testedNode) string { return n.readiness },
		"metrics":   func(n *testedNode) string { return n.metrics },
		"peers":     func(n *testedNode) string { return n.peers },
	}
}
