package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// ignoredEvents implements quarantine.Events.
type ignoredEvents struct{}

func (ignoredEvents) ReplicaCrashed(quarantine.CrashReport)  {}
func (ignoredEvents) Cleared(quarantine.Verdict, time.Time)  {}
func (ignoredEvents) Quarantined(quarantine.Verdict)         {}
func (ignoredEvents) TrialBegun(quarantine.Verdict)          {}
func (ignoredEvents) ReplicaClaimed(quarantine.ReplicaClaim) {}
func (ignoredEvents) ClaimDenied(quarantine.ReplicaClaim)    {}
func (ignoredEvents) TrialInconclusive(quarantine.Work)      {}

// crashNetwork delivers the messages of the crash exchanges of a fleet in order, at one moment, and counts
// them. Node 0 reports crashes.
type crashNetwork struct {
	t     *testing.T
	nodes []*crashExchange
	// relays is the number of nodes, from node 1 on, that pass messages on to the others; 0 if nodes send to
	// all others themselves.
	relays          int
	queue           []sentMessage
	messages, bytes int
	// cut counts what limits left out.
	cut map[string]int
}

// sentMessage is a message on its way.
type sentMessage struct {
	from, to int
	message  quarantineMessage
}

func newCrashNetwork(t *testing.T, nodes, relays int) *crashNetwork {
	n := &crashNetwork{t: t, relays: relays, cut: map[string]int{}}
	for range nodes {
		n.addNode()
	}
	return n
}

// addNode adds a node that knows no crashes.
func (n *crashNetwork) addNode() {
	list := &quarantine.List{}
	guard := &quarantine.Guard{List: list, Parts: quarantine.NewPartList(list), Events: ignoredEvents{}}
	n.nodes = append(n.nodes, newCrashExchange(guard, func(limit string, count int) { n.cut[limit] += count }))
}

func (n *crashNetwork) send(from, to int, message quarantineMessage) {
	n.messages++
	n.bytes += len(encoded(n.t, message))
	n.queue = append(n.queue, sentMessage{from, to, message})
}

// broadcast sends a message of node 0 to all others.
func (n *crashNetwork) broadcast(message quarantineMessage) {
	last := len(n.nodes) - 1
	if n.relays > 0 {
		last, message.Forward = n.relays, true
	}
	for to := 1; to <= last; to++ {
		n.send(0, to, message)
	}
}

// deliver delivers messages until there are none, or more than most were sent.
func (n *crashNetwork) deliver(most int, now time.Time) {
	for len(n.queue) > 0 && n.messages <= most {
		next := n.queue[0]
		n.queue = n.queue[1:]
		mayReply := next.message.Forward || n.relays == 0
		for _, reply := range n.nodes[next.to].receive(&next.message, mayReply, now) {
			n.send(next.to, next.from, reply)
		}
		if next.message.Forward {
			next.message.Forward = false
			for follower := n.relays + next.to; follower < len(n.nodes); follower += n.relays {
				n.send(next.to, follower, next.message)
			}
		}
	}
}

// Guards against messages about one crash that grow faster than the fleet, or never end.
func TestCrashExchange_MessagesForOneCrashAreProportionalToNodes(t *testing.T) {
	const bytesPerMessage = 600
	part := quarantine.Work{1}
	for _, nodes := range []int{3, 13, 100, 985} {
		for _, relays := range []int{0, min(16, nodes-1)} {
			t.Run(fmt.Sprintf("%d nodes, %d relays", nodes, relays), func(t *testing.T) {
				network := newCrashNetwork(t, nodes, relays)
				for _, node := range network.nodes {
					recordPartCrashes(node.guard, part, 10, 5*time.Second)
				}
				message, now := crashMessage(part), time.Now()
				network.nodes[0].record(&message.Crashes[0], now)
				network.broadcast(message)
				most := 2 * (nodes - 1)
				network.deliver(most, now)
				if network.messages > most || network.bytes > most*bytesPerMessage {
					t.Fatalf("%d messages, %d bytes for one crash, want %d messages at most", network.messages, network.bytes, most)
				}
				t.Logf("%d messages, %d bytes, cut %v", network.messages, network.bytes, network.cut)
				again := network.messages
				network.broadcast(message)
				sent := network.messages - again
				network.deliver(network.messages+most, now)
				if relays == 0 && network.messages != again+sent {
					t.Errorf("a report that is known causes %d messages", network.messages-again-sent)
				}
			})
		}
	}
}

// Guards against a node that started without the table and is not told of the crashes under a part: it would
// send what the others refuse.
func TestCrashExchange_ReporterLearnsWhatItLacks(t *testing.T) {
	part := quarantine.Work{1}
	for _, nodes := range []int{3, 985} {
		network := newCrashNetwork(t, nodes, 0)
		for _, node := range network.nodes[1:] {
			recordPartCrashes(node.guard, part, 10, 5*time.Second)
		}
		message, now := crashMessage(part), time.Now()
		network.nodes[0].record(&message.Crashes[0], now)
		network.broadcast(message)
		network.deliver(2*nodes, now)
		if !network.nodes[0].guard.Parts.AnyQuarantined() {
			t.Errorf("with %d nodes the reporter does not know the quarantined part", nodes)
		}
	}
}

// Guards against a node that spends its time on the crash reports of others, or answers without a limit,
// whatever they send.
func TestCrashExchange_LimitsHoldWhateverArrives(t *testing.T) {
	network := newCrashNetwork(t, 1, 0)
	node, part, now := network.nodes[0], quarantine.Work{1}, time.Now()
	recordPartCrashes(node.guard, part, 10, 5*time.Second)
	const messages, seconds = 2000, 4
	evaluated, replies := 0, 0
	for i := range messages {
		message := crashMessage(part)
		message.Crashes[0].Replica = fmt.Sprint("new", i)
		known := node.guard.KnownCrashes()
		replies += len(node.receive(&message, true, now.Add(time.Duration(i)*seconds*time.Second/messages)))
		if added := node.guard.KnownCrashes() - known; added > 0 {
			evaluated += known + added
		}
	}
	if most := evaluationBurst + seconds*evaluationRate + node.guard.KnownCrashes(); evaluated > most || network.cut[cutEntries] == 0 {
		t.Errorf("%d crashes evaluated and %d reports left out in %d s, want %d evaluated at most", evaluated, network.cut[cutEntries], seconds, most)
	}
	if most := crashReplyBurst + seconds*maxCrashReplies; replies > most || network.cut[cutReplies] == 0 {
		t.Errorf("%d answers and %d left out in %d s, want %d at most", replies, network.cut[cutReplies], seconds, most)
	}
}
