package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// wholeStream returns the body of a complete answer to a request on a stream route.
func wholeStream() string {
	var text strings.Builder
	for id := 1; id <= siteEvents; id++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id, standin.EventData(id))
	}
	return text.String()
}

// wholeText returns the result of a completed item.
func wholeText() string {
	var pieces []string
	for id := 1; id <= siteEvents; id++ {
		pieces = append(pieces, standin.EventData(id))
	}
	return strings.Join(pieces, "\n")
}

// setBehaviour sets the behaviour of all servers for the given number of first requests to each.
// Later ones succeed.
func (s *gatewaySite) setBehaviour(behaviour standin.Behaviour, first int) {
	for _, server := range s.servers {
		server.SetBehaviour(func(number int) standin.Behaviour {
			if number <= first {
				return behaviour
			}
			return standin.Succeed
		})
	}
}

func TestGateway_StreamIsCompleteWhateverOneServerDoes(t *testing.T) {
	cases := map[string]standin.Behaviour{
		"whole": standin.Succeed, "cut in an event": standin.TruncateEvent, "response lost": standin.DropResponse,
		"shed": standin.Refuse, "address taken over": standin.Misdirect, "response of another request": standin.SwapRequestID,
		"unsigned bytes": standin.OmitSignature, "failed run": standin.Fail, "silent": standin.Hang,
		"refusal of another request": standin.RepeatRefusal,
	}
	for name, behaviour := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newGatewaySite(t, 2)
			gateway := site.start("a")
			site.servers[0].SetBehaviour(func(int) standin.Behaviour { return behaviour })
			for number := range 4 {
				status, text, header := site.call(gateway, http.MethodPost, "/resume/x?q=1", fmt.Sprintf("q%d", number), []byte("prompt"))
				if status != http.StatusOK || text != wholeStream() || header.Get("Response-Signature") == "" {
					t.Fatalf("caller got %d %q", status, text)
				}
			}
		})
	}
}

func TestGateway_StreamThatMayNotResumeRunsOnce(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"response lost": standin.DropResponse, "refusal of another request": standin.RepeatRefusal} {
		t.Run(name, func(t *testing.T) {
			site := newGatewaySite(t, 2)
			site.configure(2, "once")
			gateway := site.start("a")
			site.setBehaviour(behaviour, 100)
			status, _, _ := site.call(gateway, http.MethodPost, "/once/x", "q", nil)
			if runs := len(site.servers[0].Runs()) + len(site.servers[1].Runs()); status != http.StatusBadGateway || runs != 1 {
				t.Fatalf("status %d after %d runs, want 502 after one", status, runs)
			}
		})
	}
}

func TestGateway_RefusalHasRetryAfter(t *testing.T) {
	site := newGatewaySite(t, 1)
	gateway := site.start("a")
	site.setBehaviour(standin.Refuse, 1<<30)
	start := time.Now()
	status, _, header := site.call(gateway, http.MethodPost, "/resume/x", "q", nil)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", status, header)
	}
	if took := time.Since(start); took > 6*time.Second {
		t.Fatalf("the refusal took %v", took)
	}
}

func TestGateway_BadInput(t *testing.T) {
	site := newGatewaySite(t, 1)
	gateway := site.start("a")
	tooMany := `{"requests":[` + strings.TrimSuffix(strings.Repeat(`{"id":"x","path":"/batch/x","tokenCount":1},`, 201), ",") + `]}`
	cases := []struct {
		name, path, id, body string
		status               int
	}{
		{"unknown route", "/nowhere/x", "q1", "", http.StatusNotFound},
		{"no id", "/resume/x", "", "", http.StatusBadRequest},
		{"body over the limit", "/resume/x", "q2", strings.Repeat("x", 2<<20), http.StatusRequestEntityTooLarge},
		{"no job", "/batch/j", "j1", "no json", http.StatusBadRequest},
		{"no items", "/batch/j", "j2", `{"requests":[]}`, http.StatusBadRequest},
		{"too many items", "/batch/j", "j3", tooMany, http.StatusBadRequest},
		{"no token count", "/batch/j", "j4", `{"requests":[{"id":"x","path":"/batch/x"}]}`, http.StatusBadRequest},
		{"over the quota", "/batch/j", "j5", `{"requests":[{"id":"x","path":"/batch/x","tokenCount":100001}]}`, http.StatusTooManyRequests},
	}
	for _, tt := range cases {
		if status, text, _ := site.call(gateway, http.MethodPost, tt.path, tt.id, []byte(tt.body)); status != tt.status {
			t.Errorf("%s: %d %q, want %d", tt.name, status, text, tt.status)
		}
	}
	if status, _, _ := site.call(gateway, http.MethodGet, "/v1/lots/unknown", "q3", nil); status != http.StatusNotFound {
		t.Errorf("unknown job: %d", status)
	}
}

func TestGateway_UnreadableConfigurationLeavesTheLastOneInForce(t *testing.T) {
	site := newGatewaySite(t, 1)
	gateway := site.start("a")
	site.store.Put("op", "config", map[string]any{"version": 5, "routes": []map[string]any{{"name": "r", "routeType": "odd"}}})
	site.store.Put("op", "config", "no configuration at all")
	site.configure(6, "resume", "added")
	site.eventually("next good version in force", func() bool { return gateway.routes.Load().Version == 6 })
	if status, _, _ := site.call(gateway, http.MethodPost, "/added/x", "q", nil); status != http.StatusOK {
		t.Fatalf("request on the added route: %d", status)
	}
}

// jobBody returns the body of a submission of a job with the given number of items.
func jobBody(id string, items int) []byte {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("%s-%d", id, i), "path": "/batch/x", "headers": map[string]string{"Model": "m"},
			"body": []byte("prompt"), "tokenCount": 100,
		})
	}
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		panic(err)
	}
	return body
}

type jobListing struct {
	Total     int `json:"total"`
	NextToken int `json:"nextToken"`
	Results   []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
}

// awaitJob reads a job at a gateway until all items are listed.
func (s *gatewaySite) awaitJob(gateway *Gateway, id string) jobListing {
	s.t.Helper()
	var listing jobListing
	s.eventually("job "+id+" done", func() bool {
		status, text, _ := s.call(gateway, http.MethodGet, "/v1/lots/"+id+"?sinceRev=0", "read", nil)
		if status != http.StatusOK {
			return false
		}
		listing = jobListing{}
		if err := json.Unmarshal([]byte(text), &listing); err != nil {
			s.t.Fatal(err)
		}
		return len(listing.Results) == listing.Total
	})
	return listing
}

func TestGateway_JobIsDoneAndReadAtAnyNode(t *testing.T) {
	site := newGatewaySite(t, 2)
	first, second := site.start("a"), site.start("b")
	for _, gateway := range []*Gateway{first, second} {
		if status, text, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 5)); status != http.StatusAccepted {
			t.Fatalf("submission: %d %q", status, text)
		}
	}
	listing := site.awaitJob(second, "j")
	for _, result := range listing.Results {
		if result.State != "completed" || result.Message != wholeText() {
			t.Fatalf("result is %+v", result)
		}
	}
	if status, text, _ := site.call(second, http.MethodGet, "/v1/items/j?id=j-3", "read", nil); status != http.StatusOK || text != "prompt" {
		t.Fatalf("body of an item: %d %q", status, text)
	}
	for range 2 {
		if status, _, _ := site.call(second, http.MethodDelete, "/v1/lots/j", "end", nil); status != http.StatusOK {
			t.Fatalf("end: %d", status)
		}
	}
}

func TestGateway_AcceptedJobSurvivesLossOfAllNodes(t *testing.T) {
	site := newGatewaySite(t, 2)
	for _, server := range site.servers {
		server.EventTime = 150 * time.Millisecond
	}
	first := site.start("a")
	if status, _, _ := site.call(first, http.MethodPost, "/batch/j", "j", jobBody("j", 3)); status != http.StatusAccepted {
		t.Fatalf("submission: %d", status)
	}
	first.Kill()
	listing := site.awaitJob(site.start("a"), "j")
	for _, result := range listing.Results {
		if result.Message != wholeText() {
			t.Fatalf("result is %+v", result)
		}
	}
}

func TestGateway_StopHandsBackJobsAndCutsNoStream(t *testing.T) {
	site := newGatewaySite(t, 2)
	for _, server := range site.servers {
		server.EventTime = 100 * time.Millisecond
	}
	first, second := site.start("a"), site.start("b")
	if status, _, _ := site.call(first, http.MethodPost, "/batch/j", "j", jobBody("j", 3)); status != http.StatusAccepted {
		t.Fatalf("submission: %d", status)
	}
	streamed := make(chan string, 1)
	go func() {
		_, text, _ := site.call(first, http.MethodPost, "/resume/x", "q", nil)
		streamed <- text
	}()
	time.Sleep(150 * time.Millisecond)
	first.Stop()
	if text := <-streamed; text != wholeStream() {
		t.Fatalf("Stop cut a stream: %q", text)
	}
	site.awaitJob(second, "j")
}

func TestGateway_StoreOutageStopsNoStream(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("a")
	site.store.SetFault(func(string) standin.Fault { return standin.ConnectionReset })
	for number := range 3 {
		if status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("q%d", number), nil); status != http.StatusOK || text != wholeStream() {
			t.Fatalf("during the outage: %d %q", status, text)
		}
	}
	if status, _, header := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 1)); status < 500 {
		t.Fatalf("a job was answered %d %v with the store down", status, header)
	}
	site.store.SetFault(nil)
	site.eventually("job accepted after the outage", func() bool {
		status, _, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 1))
		return status == http.StatusAccepted
	})
	site.awaitJob(gateway, "j")
}

func TestGateway_LostStoreResponsesAreResolved(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("a")
	calls := 0
	site.store.SetFault(func(path string) standin.Fault {
		if !strings.HasSuffix(path, "rows-tx") {
			return standin.NoFault
		}
		calls++
		if calls%2 == 1 {
			return standin.ResponseLost
		}
		return standin.NoFault
	})
	if status, text, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 4)); status != http.StatusAccepted {
		t.Fatalf("submission: %d %q", status, text)
	}
	listing := site.awaitJob(gateway, "j")
	seen := map[string]bool{}
	for _, result := range listing.Results {
		if seen[result.ID] {
			t.Fatalf("item %s is listed twice", result.ID)
		}
		seen[result.ID] = true
	}
}

func TestGateway_HistoryTruncatedWhileServerLeaves(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("a")
	site.store.Remove("servers", "i-0")
	site.store.CompactHistory()
	site.eventually("server gone", func() bool { return len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 1 })
}
