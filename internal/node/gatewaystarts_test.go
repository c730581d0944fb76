package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// maxStartedUnixMs takes as many bytes as any start time of this millennium.
const maxStartedUnixMs int64 = 1 << 45

// oldFailureReport is the failureReport of versions that do not distinguish starts.
type oldFailureReport struct {
	Replica   uint64  `cbor:"1,keyasint"`
	Failures  float32 `cbor:"2,keyasint"`
	Successes float32 `cbor:"3,keyasint"`
	AgeMs     uint16  `cbor:"4,keyasint"`
}

// encoded returns the encoded body of a message.
func encoded(t *testing.T, body any) []byte {
	t.Helper()
	bytes, err := cbor.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}

// newCoreWithReplicas returns a core with replicas r0 to r3. r0 has the given start time.
func newCoreWithReplicas(startedUnixMs int64) (c *core, info replica.Info) {
	c = testCore()
	for _, id := range []string{"r0", "r1", "r2", "r3"} {
		c.replicas.Put(replica.Info{ID: id, Pool: "llm", Address: id, Slots: 4})
	}
	info = replica.Info{ID: "r0", Pool: "llm", Address: "r0", Slots: 4, StartedUnixMs: startedUnixMs}
	c.replicas.Put(info)
	return c, info
}

func isEjected(c *core, id string) bool {
	listed, _ := c.replicas.CandidateByID(id, time.Now())
	return listed.Ejected
}

// TestFailureReports_OfOtherStarts checks that reports about an earlier or later start of a
// replica, which have the same ID, do not count.
func TestFailureReports_OfOtherStarts(t *testing.T) {
	c, info := newCoreWithReplicas(3000)
	g := &Gateway{core: c, roster: lease.NewRoster(nil, c.session, "m", time.Now, fastTiming())}
	info.StartedUnixMs = 1000
	c.replicas.Put(info)
	time.Sleep(5 * time.Millisecond)
	deliver := func(body any) {
		for _, node := range []string{"a#1", "b#1", "c#1"} {
			g.handleFailureReports(node, nil, encoded(t, body))
		}
	}
	key := replica.Key("r0")
	for _, startedUnixMs := range []int64{3000, 4000} {
		if deliver([]failureReport{{Replica: key, Failures: 9, StartedUnixMs: startedUnixMs}}); isEjected(c, "r0") {
			t.Fatalf("reports about start %d eject start 1000", startedUnixMs)
		}
	}
	if deliver([]oldFailureReport{{Replica: key, Failures: 9, AgeMs: 2000}}); isEjected(c, "r0") {
		t.Fatal("reports of older versions from before the start eject it")
	}
	if deliver([]failureReport{{Replica: key, Failures: 9, StartedUnixMs: 1000}}); !isEjected(c, "r0") {
		t.Error("reports about this start are ignored")
	}
}

// TestFailureReports_OfOlderVersionsAreAccepted guards the exchange of reports between nodes of two
// versions during an upgrade.
func TestFailureReports_OfOlderVersionsAreAccepted(t *testing.T) {
	c, _ := newCoreWithReplicas(1000)
	g := &Gateway{core: c, roster: lease.NewRoster(nil, c.session, "m", time.Now, fastTiming())}
	for _, node := range []string{"a#1", "b#1", "c#1"} {
		g.handleFailureReports(node, nil, encoded(t, []oldFailureReport{{Replica: replica.Key("r0"), Failures: 9}}))
	}
	if !isEjected(c, "r0") {
		t.Error("reports of older versions are ignored")
	}
	var decoded []oldFailureReport
	body := encoded(t, []failureReport{{Replica: 1, Failures: 2, Successes: 3, AgeMs: 4, StartedUnixMs: maxStartedUnixMs}})
	if err := cbor.Unmarshal(body, &decoded); err != nil || decoded[0] != (oldFailureReport{1, 2, 3, 4}) {
		t.Errorf("older versions decode %+v, %v", decoded, err)
	}
}

// TestMessages_FitADatagram sends messages of the maximum size.
func TestMessages_FitADatagram(t *testing.T) {
	const maxReports = 32 // the maximum number that replica.Set.FailureReports returns
	reports := make([]failureReport, maxReports)
	for i := range reports {
		reports[i] = failureReport{Replica: 1<<64 - 1 - uint64(i), Failures: 1.1, Successes: 2.2, AgeMs: 1<<16 - 1, StartedUnixMs: maxStartedUnixMs}
	}
	message := quarantineMessage{}
	for i := range maxMessageCrashes {
		crash := crashEntry{Replica: strings.Repeat("r", 20), AgeMs: 60_000, StartedUnixMs: maxStartedUnixMs}
		for range maxMessageWorks / maxMessageCrashes {
			crash.Works = append(crash.Works, quarantine.Work{byte(i)})
			crash.Durations = append(crash.Durations, 10_000)
			crash.SuccessAges = append(crash.SuccessAges, 3_600_000)
		}
		message.Crashes = append(message.Crashes, crash)
	}
	sender, err := peer.Listen("127.0.0.1:0", strings.Repeat("n", 20)+"#"+strings.Repeat("1", 19))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	to, err := net.ResolveUDPAddr("udp4", sender.Address())
	if err != nil {
		t.Fatal(err)
	}
	for kind, body := range map[peer.Kind]any{peer.KindReplicaFailures: reports, peer.KindCrashReport: message} {
		if err := sender.Send(to, kind, body); err != nil {
			t.Errorf("kind %d: %v", kind, err)
		}
		t.Logf("kind %d: %d bytes of body", kind, len(encoded(t, body)))
	}
}

// TestQuarantineMessage_CrashesOfDifferentStartsCountSeparately checks crashes of one replica ID
// within a short time, reported by another node.
func TestQuarantineMessage_CrashesOfDifferentStartsCountSeparately(t *testing.T) {
	c := testCore()
	g := &Gateway{core: c}
	bad := quarantine.Work{1}
	for _, startedUnixMs := range []int64{3000, 1000, 2000} {
		message := quarantineMessage{Crashes: []crashEntry{{Replica: "r", StartedUnixMs: startedUnixMs, Works: []quarantine.Work{bad}, AgeMs: 3100 - startedUnixMs, Durations: []int64{10}}}}
		g.handleQuarantineMessage("a#1", nil, encoded(t, message))
	}
	if verdict := c.quarantine.Check(bad, time.Now()); len(verdict.Replicas) != 3 {
		t.Errorf("%d crashes count, want 3", len(verdict.Replicas))
	}
}

// TestColdGranter_DeniesOtherStart checks requests for a start that the granting node does not
// know.
func TestColdGranter_DeniesOtherStart(t *testing.T) {
	c, info := newCoreWithReplicas(1000)
	c.replicas.SetColdLimits(map[string]replica.ColdLimit{"llm": {Rate: 15, Start: 3 * time.Second}})
	c.replicas.ColdTolerance = replica.ColdTolerance{Over: 1.5, Slack: 5}
	c.replicas.Divide("n", []place.Node{{ID: "n"}})
	info.ColdLeft = 3 * time.Second
	c.replicas.Put(info)
	var reply coldGrantReply
	granter := &coldGranter{replicas: c.replicas, onError: func(err error) { t.Error(err) }}
	granter.send = func(_ *net.UDPAddr, _ peer.Kind, body any) error {
		reply = body.(coldGrantReply)
		return nil
	}
	now := time.Now()
	isGranted := func(startedUnixMs int64) bool {
		now = now.Add(500 * time.Millisecond)
		granter.handleRequest(func() time.Time { return now })("a#1", nil, encoded(t, coldGrantRequest{Number: 7, Replica: "r0", StartedUnixMs: startedUnixMs}))
		return reply.Granted
	}
	if !isGranted(1000) || !isGranted(0) {
		t.Error("no grant for the start that both know")
	}
	if isGranted(2000) {
		t.Error("granted for another start")
	}
}
