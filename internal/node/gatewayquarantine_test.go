package node

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_QuarantineIsShownAndReleased follows the steps of an operator who sees a refusal,
// finds the quarantined work and releases it at all nodes.
func TestGateway_QuarantineIsShownAndReleased(t *testing.T) {
	site := newCrashSite(t, 8)
	gateways := []*Gateway{site.startGateway("a"), site.startGateway("b")}
	for _, gateway := range gateways {
		gateway.settings.Operator.KeySHA256 = v1.HashKey("operator")
	}
	site.sendUntilThreeCrashes(gateways)
	site.eventually("both refuse", func() bool {
		return len(gateways[0].quarantine.All(time.Now())) == 1 && len(gateways[1].quarantine.All(time.Now())) == 1 &&
			gateways[0].Suspects().Items[0].Quarantined && gateways[1].Suspects().Items[0].Quarantined
	})
	// Two trials follow at once and a second later; further requests are refused.
	const maxTrials = 2
	var status, trials int
	var header http.Header
	for ; trials <= maxTrials && status != http.StatusServiceUnavailable; trials++ {
		status, _, header = site.call(gateways[1], "POST", "/resume/work", fmt.Sprintf("refused-%d", trials), crashingBody)
	}
	if status != http.StatusServiceUnavailable || header.Get("X-Wheelhoist-Reason") != "quarantined" {
		t.Fatalf("refused with %d, %v", status, header)
	}
	// The third trial is due 10 s after the second, and all nodes know its outcome a second later.
	// The calls up to here take less than that pause.
	if wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || wait <= 1 || wait > 11 {
		t.Fatalf("a refused caller is to retry after %q s", header.Get("Retry-After"))
	}
	operator := client.New("http://"+gateways[0].settings.Gateway.Metrics, "operator")
	list, err := operator.Suspects(t.Context())
	if err != nil || len(list.Items) != 1 || len(list.Items[0].Replicas) < 3 || list.Items[0].SecondsLeft < 3000 {
		t.Fatalf("suspects %+v, %v", list, err)
	}
	work := list.Items[0].Work
	if shown, err := operator.Suspect(t.Context(), work); err != nil || shown.Work != work {
		t.Fatalf("shown %+v, %v", shown, err)
	}
	if _, err := client.New(operator.Base, "other").Release(t.Context(), work); err == nil {
		t.Fatal("released without the operators' key")
	}
	if _, err := operator.Release(t.Context(), work); err != nil {
		t.Fatal(err)
	}
	site.eventually("both run it again", func() bool {
		return len(gateways[0].Suspects().Items) == 0 && len(gateways[1].Suspects().Items) == 0
	})
	crashes := site.crashes(time.Time{})
	site.send(gateways[1], crashingBody)
	if site.crashes(time.Time{}) == crashes {
		t.Fatal("released work does not run")
	}
}

// TestGateway_ReplicasThatCrashByThemselvesQuarantineNothing kills replicas one after the other
// while they run harmless requests.
func TestGateway_ReplicasThatCrashByThemselvesQuarantineNothing(t *testing.T) {
	site := newCrashSite(t, 6)
	gateways := []*Gateway{site.startGateway("a"), site.startGateway("b")}
	stop := time.After(3 * time.Second)
	kill := time.NewTicker(80 * time.Millisecond)
	defer kill.Stop()
	popular := []byte("everybody asks this")
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			for _, gateway := range gateways {
				for _, suspect := range gateway.Suspects().Items {
					if suspect.Quarantined {
						t.Errorf("%s quarantined %+v", gateway.settings.Node.ID, suspect)
					}
				}
			}
			return
		case <-kill.C:
			site.processes[turn%len(site.processes)].Kill()
		default:
			site.send(gateways[turn%len(gateways)], popular)
		}
	}
}

// TestGateway_KnowsSuccessesOfLostNode guards against the loss of all nodes that saw a work succeed
// (soak seed 7215): without their successes, three crashes of other causes during its runs would
// quarantine the work at all nodes.
func TestGateway_KnowsSuccessesOfLostNode(t *testing.T) {
	site := newCrashSite(t, 4)
	gateways := []*Gateway{site.startGateway("a"), site.startGateway("b")}
	site.eventually("nodes know each other", func() bool {
		return gateways[0].roster.Count() == len(gateways) && gateways[1].roster.Count() == len(gateways)
	})
	popular := []byte("everybody asks this")
	work := (&quarantine.Content{Method: http.MethodPost, Host: siteHost, Target: "/resume/work", Body: popular}).Work()
	for range 2 {
		if status := site.send(gateways[0], popular); status != http.StatusOK {
			t.Fatalf("harmless work gets %d", status)
		}
	}
	site.eventually("the other node knows that the work succeeds", func() bool {
		_, known := gateways[1].quarantine.LastSuccess(work)
		return known
	})
	gateways[0].Kill()
	for i := range quarantine.DefaultCrashLimit {
		sentAt := time.Now()
		time.Sleep(10 * time.Millisecond)
		gateways[1].quarantine.guard.RecordCrash(quarantine.CrashReport{
			Replica: fmt.Sprintf("gone-%d", i), Runs: []quarantine.Run{{Work: work, SentAt: sentAt}}, At: time.Now(),
		})
	}
	if status := site.send(gateways[1], popular); status != http.StatusOK {
		t.Errorf("harmless work gets %d after three crashes", status)
	}
}

// TestGateway_RepliesToUnknownNode guards against a lost reply to a node that has just started
// (soak --seed 7218 --nodes 6 --regions 2). It queries the successes of a work before other nodes
// have read its member row, so the reply must go to the source address of the query; otherwise the
// node refuses popular work.
func TestGateway_RepliesToUnknownNode(t *testing.T) {
	site := newCrashSite(t, 2)
	gateway := site.startGateway("a")
	work := quarantine.Work{1}
	gateway.quarantine.guard.RecordSuccess(work)
	unknown, source := listenUnknownNode(t)
	replies := make(chan quarantineMessage, 1)
	unknown.Handle(peer.KindCrashReport, func(_ string, _ *net.UDPAddr, body []byte) {
		var message quarantineMessage
		if err := cbor.Unmarshal(body, &message); err != nil {
			t.Error(err)
		}
		replies <- message
	})
	go func() { _ = unknown.Run() }()
	gateway.handleQuarantineMessage("stranger#1", source, encoded(t, quarantineMessage{Query: &work}))
	select {
	case message := <-replies:
		if len(message.Clearings) != 1 || message.Clearings[0].Work != work {
			t.Errorf("replied %+v", message)
		}
	case <-time.After(5 * time.Second):
		t.Error("an unknown node gets no reply")
	}
}

// TestQuarantineMessage_CrashesCarryEarlierSuccesses checks that a node that has just started
// learns from a crash report that work running at the crash had succeeded elsewhere, without a
// query.
func TestQuarantineMessage_CrashesCarryEarlierSuccesses(t *testing.T) {
	c := testCore()
	g := &Gateway{core: c}
	popular, other := quarantine.Work{1}, quarantine.Work{2}
	message := quarantineMessage{Crashes: []crashEntry{{
		Replica: "r", StartedUnixMs: 1000, Works: []quarantine.Work{popular, other}, AgeMs: 100, Durations: []int64{10, 10}, SuccessAges: []int64{500, 0},
	}}}
	g.handleQuarantineMessage("a#1", nil, encoded(t, message))
	at, known := c.quarantine.LastSuccess(popular)
	if age := time.Since(at); !known || age < 600*time.Millisecond || age > 10*time.Second {
		t.Errorf("work that succeeded 0.6 s ago: known %v, %v ago", known, age)
	}
	if _, known := c.quarantine.LastSuccess(other); known {
		t.Error("work without a known success counts as successful")
	}
	if verdict := c.quarantine.Check(popular, time.Now()); len(verdict.Replicas) != 1 {
		t.Errorf("%d crashes count, want only the one after the success", len(verdict.Replicas))
	}
}

// listenUnknownNode opens the socket of a node that is not a member.
func listenUnknownNode(t testing.TB) (*peer.Socket, *net.UDPAddr) {
	t.Helper()
	socket, err := peer.Listen("127.0.0.1:0", "stranger#1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	address, err := net.ResolveUDPAddr("udp4", socket.Address())
	if err != nil {
		t.Fatal(err)
	}
	return socket, address
}

// TestGateway_InterruptedResponsesSuspectNoWork has servers truncate their responses without
// crashing.
func TestGateway_InterruptedResponsesSuspectNoWork(t *testing.T) {
	site := newGatewaySite(t, 4)
	for _, server := range site.servers {
		server.SetBehaviour(func(int) standin.Behaviour { return standin.TruncateEvent })
	}
	gateway := site.start("a")
	for range 5 {
		site.call(gateway, "POST", "/resume/work", "q", []byte("the same"))
	}
	if items := gateway.Suspects().Items; len(items) != 0 {
		t.Fatalf("suspected: %+v", items)
	}
}

// FuzzHarmTold decodes quarantine messages that a node may receive from another process.
func FuzzHarmTold(f *testing.F) {
	body, err := cbor.Marshal(quarantineMessage{
		Crashes:   []crashEntry{{Replica: "r", Works: []quarantine.Work{{1}}, AgeMs: 5}},
		Clearings: []clearingEntry{{Work: quarantine.Work{1}, AgeMs: -5}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xbf})
	socket, source := listenUnknownNode(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		g := &Gateway{core: testCore(), peers: socket}
		g.handleQuarantineMessage("a#1", source, body)
		for _, suspect := range g.Suspects().Items {
			if suspect.SecondsSinceEnd < 0 {
				t.Fatalf("a crash in the future: %+v", suspect)
			}
		}
	})
}
