package crowd

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// requireServed sends requests inside the limits together and requires a success for each.
func requireServed(t *testing.T, n *testedNode, name string, clients int, write func(io.Writer) error) {
	t.Helper()
	c := gather(t, n.address, clients, write)
	if counts := c.statuses(); counts[http.StatusOK] != clients {
		t.Errorf("%s: statuses of %d clients: %v", name, clients, counts)
	}
	c.leave()
}

// whole writes the end of a body after its chunks.
func whole(write func(io.Writer) error) func(io.Writer) error {
	return func(w io.Writer) error {
		if err := write(w); err != nil {
			return err
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
}

// Requests inside the limits are served while there is no crowd, however they are sent.
func TestGateway_LargestRequestsAreServed(t *testing.T) {
	n := startGateway(t, machine{mediumMachine, manyDescriptors})
	slow := func(w io.Writer) error {
		if _, err := io.WriteString(w, head(streamPath, lengthLine(maxBody))); err != nil {
			return err
		}
		for range 64 {
			if _, err := w.Write(bytes.Repeat([]byte("x"), maxBody/64)); err != nil {
				return err
			}
			time.Sleep(30 * time.Millisecond)
		}
		return nil
	}
	longHead := func(w io.Writer) error {
		_, err := io.WriteString(w, head(streamPath, "A: "+strings.Repeat("x", 15_000), lengthLine(1))+"x")
		return err
	}
	requireServed(t, n, "announced", 1, announced(streamPath, maxBody, maxBody))
	requireServed(t, n, "large chunks", 1, whole(chunks(streamPath, 64<<10, maxBody)))
	requireServed(t, n, "small chunks", 1, whole(chunks(streamPath, 1, 1_000_000)))
	requireServed(t, n, "slow", 1, slow)
	requireServed(t, n, "long head", 1, longHead)
	requireServed(t, n, "many lines", 1, func(w io.Writer) error {
		_, err := io.WriteString(w, head(streamPath, strings.TrimSpace(numberedLines(15_000)), lengthLine(1))+"x")
		return err
	})
	requireServed(t, n, "twenty at once", 20, announced(streamPath, maxBody, maxBody))
	n.requireBounds()
}

// The smallest machines serve the largest requests too.
func TestGateway_LargestRequestsAreServedBySmallMachines(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	requireServed(t, n, "announced", 1, announced(streamPath, maxBody, maxBody))
	requireServed(t, n, "large chunks", 1, whole(chunks(streamPath, 64<<10, maxBody)))
	n.requireBounds()
}

// A head may take as long as the configuration says.
func TestGateway_SlowHeadIsServed(t *testing.T) {
	n := startGatewayWithHeadTime(t, machine{smallMachine, manyDescriptors}, time.Minute)
	requireServed(t, n, "slow head", 1, func(w io.Writer) error {
		whole := head(streamPath, lengthLine(1)) + "x"
		half := len(whole) / 2
		if _, err := io.WriteString(w, whole[:half]); err != nil {
			return err
		}
		time.Sleep(12 * time.Second)
		_, err := io.WriteString(w, whole[half:])
		return err
	})
}
