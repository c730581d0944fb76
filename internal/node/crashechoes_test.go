package node

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// recordPartCrashes makes a guard know crashes under a part, the last of them at the given time before now.
func recordPartCrashes(guard *quarantine.Guard, part quarantine.Work, count int, lastAgo time.Duration) {
	for i := range count {
		at := time.Now().Add(-lastAgo - time.Duration(count-1-i)*time.Second)
		sentAt := at.Add(-100 * time.Millisecond)
		guard.RecordCrash(quarantine.CrashReport{
			Replica: fmt.Sprintf("r%d", i), StartedUnixMs: int64(1000 + i), At: at,
			Runs:  []quarantine.Run{{Work: quarantine.Work{2, byte(i)}, SentAt: sentAt}},
			Parts: []quarantine.Run{{Work: part, SentAt: sentAt}},
		})
	}
}

// crashMessage returns a message about one crash under a part that nobody knows yet.
func crashMessage(part quarantine.Work) quarantineMessage {
	return quarantineMessage{Crashes: []crashEntry{{
		Replica: "new", StartedUnixMs: 5000, AgeMs: 20, Works: []quarantine.Work{{3}}, Durations: []int64{50},
		Parts: []quarantine.Work{part}, PartDurations: []int64{50},
	}}}
}

// Guards against two nodes that answer each other's answers to a crash report for as long as a part of
// prompts is quarantined. The other node sends back what it gets, as one that knows the same crashes would.
func TestGateway_AnswersToCrashReportsAreNotAnswered(t *testing.T) {
	site := newCrashSite(t, 2)
	gateway := site.startGateway("a")
	part := quarantine.Work{1}
	recordPartCrashes(&gateway.quarantine.guard, part, 10, 5*time.Second)
	other, source := listenUnknownNode(t)
	const most = 500
	var answers atomic.Int64
	other.Handle(peer.KindCrashReport, func(_ string, _ *net.UDPAddr, body []byte) {
		if answers.Add(1) < most {
			gateway.handleQuarantineMessage("stranger#1", source, body)
		}
	})
	go func() { _ = other.Run() }()
	gateway.handleQuarantineMessage("stranger#1", source, encoded(t, crashMessage(part)))
	site.eventually("the reporter is told what it lacks", func() bool { return answers.Load() > 0 })
	time.Sleep(500 * time.Millisecond)
	if got := answers.Load(); got != 1 {
		t.Errorf("one crash report caused %d answers, want 1", got)
	}
}
