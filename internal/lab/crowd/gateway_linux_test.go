package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	streamPath = "/resume/x"
	batchPath  = "/batch/x"
	// endless is how many bytes a client sends that does not stop by itself.
	endless = 1 << 30
)

// hold lets a crowd send and keep its connections, and checks the bounds and one ordinary request while it is
// there and after it has left.
func hold(n *testedNode, address string, clients int, write func(io.Writer) error) {
	n.t.Helper()
	c := gather(n.t, address, clients, write)
	n.requireAnswer("beside the crowd")
	n.requireBounds()
	c.leave()
	n.requireAnswer("after the crowd")
	n.requireBounds()
}

func TestGateway_LargeChunksHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 60, chunks(streamPath, 64<<10, maxBody-(64<<10)))
}

func TestGateway_LargeChunksOfJobsHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 60, chunks(batchPath, 64<<10, maxBody-(64<<10)))
}

func TestGateway_SmallChunksHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 200, chunks(streamPath, 1, 800_000))
}

func TestGateway_AnnouncedBodiesHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 100, announced(streamPath, maxBody, maxBody-1))
}

func TestGateway_BodiesFarOverTheLimit(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 100, announced(streamPath, endless, endless))
}

func TestGateway_ChunksWithoutEnd(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 150, chunks(streamPath, 64<<10, endless))
}

func TestGateway_HeadsHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 1200, openHead(streamPath, "A: 0123456789012345678901234567890123456789\r\n", 125<<10))
}

func TestGateway_HeadsOfManyLinesHeldOpen(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 600, openHead(streamPath, numberedLines(maxHeader), 15<<10))
}

func TestGateway_HeadsWithoutEnd(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 200, openHead(streamPath, "A: 0123456789012345678901234567890123456789\r\n", endless))
}

func TestGateway_EmptyLinesWithoutEnd(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 200, func(w io.Writer) error { return repeat(w, "\r\n", endless) })
}

func TestGateway_TrailersWithoutEnd(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 200, func(w io.Writer) error {
		if _, err := io.WriteString(w, head(streamPath, chunkedLine)+"0\r\n"); err != nil {
			return err
		}
		return repeat(w, "A: 0123456789012345678901234567890123456789\r\n", endless)
	})
}

func TestGateway_ChunkExtensionsWithoutEnd(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 200, func(w io.Writer) error {
		if _, err := io.WriteString(w, head(streamPath, chunkedLine)+"1;"); err != nil {
			return err
		}
		return repeat(w, "a=0123456789;", endless)
	})
}

// A caller whose path has no route gets the refusal though it sends the rest of its body late.
func TestGateway_RefusalBeforeTheBody(t *testing.T) {
	const clients = 50
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	c := gather(t, n.address, clients, announced("/nowhere/x", 200_000, 100_000))
	if counts := c.statuses(); counts[http.StatusNotFound] != clients {
		t.Errorf("statuses of %d clients: %v", clients, counts)
	}
	n.requireAnswer("beside the crowd")
	n.requireBounds()
}

// A body over the limit is refused as such, whether it was announced or not, though its caller keeps sending.
func TestGateway_BodiesOverTheLimitAreRefused(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	for name, write := range map[string]func(io.Writer) error{
		"announced": announced(streamPath, maxBody+1, 100_000), "chunked": chunks(streamPath, 64<<10, maxBody+(64<<10)),
	} {
		c := gather(t, n.address, 1, write)
		if counts := c.statuses(); counts[http.StatusRequestEntityTooLarge] != 1 {
			t.Errorf("%s: statuses %v", name, counts)
		}
	}
	n.requireAnswer("beside the crowd")
}

// Jobs of the largest size that are all whole take several times their bytes while they are accepted.
func TestGateway_LargestJobsTogether(t *testing.T) {
	n := startGateway(t, machine{smallMachine, manyDescriptors})
	hold(n, n.address, 30, func(w io.Writer) error {
		body := largestJob()
		_, err := io.WriteString(w, head(batchPath, lengthLine(int64(len(body))))+body)
		return err
	})
}

// largestJob returns the body of a job with 200 items, just under maxBody.
func largestJob() string {
	const items = 200
	content := strings.Repeat("eHh4", (maxBody/items-300)/4)
	var requests []string
	for range items {
		requests = append(requests, fmt.Sprintf(`{"id": %q, "path": %q, "headers": {"Model": "m", "Token-Usage": "10,10"}, "body": %q, "tokenCount": 20}`, requestID(), batchPath, content))
	}
	return `{"requests": [` + strings.Join(requests, ",") + `]}`
}

// fewDescriptors is a limit that a crowd of manyConnections exceeds.
const (
	fewDescriptors  = 300
	manyConnections = 600
)

func TestGateway_MoreIdleConnectionsThanDescriptors(t *testing.T) {
	n := startGateway(t, machine{smallMachine, fewDescriptors})
	hold(n, n.address, manyConnections, func(w io.Writer) error {
		_, err := io.WriteString(w, head(streamPath, lengthLine(1))+"x")
		return err
	})
}

func TestGateway_MoreSilentConnectionsThanDescriptors(t *testing.T) {
	n := startGateway(t, machine{smallMachine, fewDescriptors})
	hold(n, n.address, manyConnections, func(io.Writer) error { return nil })
}

func TestGateway_MoreAnnouncedBodiesThanDescriptors(t *testing.T) {
	n := startGateway(t, machine{smallMachine, fewDescriptors})
	hold(n, n.address, manyConnections, announced(streamPath, maxBody, 0))
}

func TestGateway_MoreBodiesThanDescriptors(t *testing.T) {
	n := startGateway(t, machine{smallMachine, fewDescriptors})
	hold(n, n.address, manyConnections, chunks(streamPath, 64<<10, maxBody-(64<<10)))
}
