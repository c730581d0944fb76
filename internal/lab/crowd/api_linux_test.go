package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
	"github.com/wheelhoist/wheelhoist/internal/lab/tail"
)

// defaultMachine is the memory in megabytes of the machine of a node whose settings do not tell it.
const defaultMachine = 256

// keyLine identifies the tenant of the site.
const keyLine = "Authorization: Bearer " + site.TenantKey

// startSite starts a site with one node that serves the product's own interface.
func startSite(t *testing.T, descriptors int) *testedNode {
	t.Helper()
	t.Setenv(descriptorsEnv, fmt.Sprint(descriptors))
	running, err := site.Start(t.Context(), site.Config{Profile: profile.Urnik, Nodes: 1, Listen: "127.0.0.1:0", Seed: 1, Processes: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	pid, exited, err := running.Nodes()[0].PID()
	if err != nil {
		t.Fatal(err)
	}
	n := &testedNode{
		t: t, machine: machine{defaultMachine, descriptors}, pid: pid, exited: exited, log: &tail.Writer{},
		address: strings.TrimPrefix(running.Nodes()[0].URL(), "http://"),
	}
	body := fmt.Sprintf(`{"model": %q, "messages": [{"role": "user", "content": "question"}], "max_tokens": 4}`, profile.Urnik.Model)
	n.ordinary = func(client *http.Client) (int, error) {
		return send(client, "http://"+n.address+openai.PathChatCompletions, body, http.Header{"Authorization": {"Bearer " + site.TenantKey}})
	}
	n.requireAnswer("before the crowd")
	return n
}

func TestNode_LargeChunksHeldOpen(t *testing.T) {
	n := startSite(t, manyDescriptors)
	hold(n, n.address, 100, chunks(openai.PathChatCompletions, 64<<10, maxBody-(64<<10), keyLine))
}

func TestNode_AnnouncedBodiesHeldOpen(t *testing.T) {
	n := startSite(t, manyDescriptors)
	hold(n, n.address, 100, announced(openai.PathChatCompletions, maxBody, maxBody-1, keyLine))
}

func TestNode_HeadsHeldOpen(t *testing.T) {
	n := startSite(t, manyDescriptors)
	hold(n, n.address, 400, openHead(openai.PathChatCompletions, "A: 0123456789012345678901234567890123456789\r\n", 900_000))
}

func TestNode_UploadsHeldOpen(t *testing.T) {
	const form = "--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n"
	n := startSite(t, manyDescriptors)
	hold(n, n.address, 400, func(w io.Writer) error {
		lines := []string{keyLine, "Content-Type: multipart/form-data; boundary=b", lengthLine(endless)}
		if _, err := io.WriteString(w, head(openai.PathFiles, lines...)+form); err != nil {
			return err
		}
		return repeat(w, strings.Repeat("x", 64<<10), 900_000)
	})
}

// The body of a batch names a file and is small; one without end is refused.
func TestNode_BatchesFarOverTheLimit(t *testing.T) {
	const sent = 200 << 20
	n := startSite(t, manyDescriptors)
	hold(n, n.address, 4, announced(openai.PathBatches, sent+1, sent, keyLine))
}

// A caller whose key is not known gets the refusal though it sends the rest of its body late.
func TestNode_RefusalBeforeTheBody(t *testing.T) {
	const clients = 50
	n := startSite(t, manyDescriptors)
	c := gather(t, n.address, clients, announced(openai.PathChatCompletions, 200_000, 100_000))
	if counts := c.statuses(); counts[http.StatusUnauthorized] != clients {
		t.Errorf("statuses of %d clients: %v", clients, counts)
	}
	n.requireAnswer("beside the crowd")
	n.requireBounds()
}

func TestNode_MoreIdleConnectionsThanDescriptors(t *testing.T) {
	n := startSite(t, fewDescriptors)
	hold(n, n.address, manyConnections, func(w io.Writer) error {
		_, err := io.WriteString(w, "GET /healthz HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
		return err
	})
}

func TestNode_MoreAnnouncedBodiesThanDescriptors(t *testing.T) {
	n := startSite(t, fewDescriptors)
	hold(n, n.address, manyConnections, announced(openai.PathChatCompletions, maxBody, 0, keyLine))
}

// Requests inside the limits are served while there is no crowd.
func TestNode_LargestUploadsAndRequestsAreRead(t *testing.T) {
	const padding = 3 << 20
	n := startSite(t, manyDescriptors)
	body := fmt.Sprintf(`{"model": %q, "messages": [{"role": "user", "content": "question"}], "max_tokens": 4}`, profile.Urnik.Model) + strings.Repeat(" ", padding)
	upload := "--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n" + strings.Repeat(strings.Repeat(" ", 999)+"\n", 90_000) + "\r\n--b--\r\n"
	for name, request := range map[string]string{
		"chat":   head(openai.PathChatCompletions, keyLine, lengthLine(int64(len(body)))) + body,
		"upload": head(openai.PathFiles, keyLine, "Content-Type: multipart/form-data; boundary=b", lengthLine(int64(len(upload)))) + upload,
	} {
		requireServed(t, n, name, 1, func(w io.Writer) error {
			_, err := io.WriteString(w, request)
			return err
		})
	}
	n.requireBounds()
}
