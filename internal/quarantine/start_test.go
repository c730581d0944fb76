package quarantine

import (
	"testing"
	"time"
)

// endedAt reports that a start of a replica ended with works, so long after start.
func endedAt(list *List, replica string, born int64, after time.Duration, works ...Work) {
	at := start.Add(after)
	list.Add(Report{Replica: replica, Born: born, Runs: runsOf(at.Add(-50*time.Millisecond), works...), At: at}, at)
}

func countedEnds(list *List, work Work) int {
	verdict := list.Check(work, start.Add(time.Minute))
	return len(verdict.Replicas)
}

// TestList_TwoEndsOfOneIDAreTwo: a replica may start again, and end again, within the time in
// which nodes tell of the same end.
func TestList_TwoEndsOfOneIDAreTwo(t *testing.T) {
	var list List
	bad := work("bad")
	endedAt(&list, "r", 2000, 0, bad)
	// The clock of its machine has stepped back meanwhile.
	endedAt(&list, "r", 1000, 500*time.Millisecond, bad)
	endedAt(&list, "r", 3000, time.Second, bad)
	if got := countedEnds(&list, bad); got != 3 {
		t.Errorf("%d ends count, not 3", got)
	}
	if !quarantined(&list, bad, 2) {
		t.Error("work that ended three starts of a replica is not quarantined")
	}
}

// TestList_AStartEndsOnce: a node that was held up tells of an end long after it.
func TestList_AStartEndsOnce(t *testing.T) {
	var list List
	bad := work("bad")
	for _, after := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
		endedAt(&list, "r", 1000, after, bad)
	}
	if got := countedEnds(&list, bad); got != 1 {
		t.Errorf("%d ends count, not 1", got)
	}
}

// TestList_ReportsThatDoNotSayWhichStartEnded: older programs write and tell them.
func TestList_ReportsThatDoNotSayWhichStartEnded(t *testing.T) {
	var list List
	bad := work("bad")
	endedAt(&list, "r", 0, 0, bad)
	endedAt(&list, "r", 1000, 500*time.Millisecond, bad)
	if got := countedEnds(&list, bad); got != 1 {
		t.Errorf("%d ends count of one that two nodes tell of", got)
	}
	endedAt(&list, "r", 2000, time.Second, bad)
	endedAt(&list, "r", 0, 10*time.Second, bad)
	if got := countedEnds(&list, bad); got != 3 {
		t.Errorf("%d ends count, not 3", got)
	}
}

func TestRows_TellWhichStartEnded(t *testing.T) {
	var list List
	writer := &Rows{Partition: "g/q", Guard: &Guard{List: &list}}
	writer.Apply(rowsOf(t, 0), true)
	write, err := writer.putEnd("x", Report{Replica: "r", Born: 1000, Runs: runsOf(writer.readAt, work("w")), At: writer.readAt})
	if err != nil {
		t.Fatal(err)
	}
	read, err := writer.decode(rowOf(write))
	if err != nil || read[0].report.Born != 1000 || read[0].report.Replica != "r" {
		t.Errorf("read %+v, %v", read[0].report, err)
	}
}

// TestPublisher_KeepsEndsOfStartsApart: reports of one end are gathered, those of the next
// start are not among them.
func TestPublisher_KeepsEndsOfStartsApart(t *testing.T) {
	publisher := NewPublisher(nil, nil, nil)
	for _, born := range []int64{1000, 2000, 1000} {
		publisher.Report(Report{Replica: "r", Born: born, Runs: runsOf(start, work("w")), At: start})
	}
	if waiting := publisher.pending.Reports; len(waiting) != 2 || len(waiting[0].Runs) != 2 || waiting[1].Born != 2000 {
		t.Errorf("to be told are %+v", waiting)
	}
}

// TestGuard_AStartUnderTheSameIDIsAnEnd: nothing refused a connection, and the replica never
// left the list.
func TestGuard_AStartUnderTheSameIDIsAnEnd(t *testing.T) {
	for _, standing := range []Standing{Restarted, Leaving} {
		guard, replicas, events := newGuard(Accepted)
		run := Run{Work: work("w"), Began: time.Now()}
		first := Replica{ID: "r", Born: 1000, Address: "r"}
		guard.BrokeOff(t.Context(), first, run)
		replicas.leave("r", standing)
		want := 0
		if standing == Restarted {
			want = 1
		}
		time.Sleep(3 * leaveLook)
		if events.ends() != want {
			t.Errorf("standing %d: %d ends, not %d", standing, events.ends(), want)
		}
		// What broke off at that start, or is left there, later than that.
		guard.BrokeOff(t.Context(), first, Run{Work: work("v"), Began: time.Now()})
		if verdict := guard.List.Check(work("v"), time.Now()); len(verdict.Replicas) != want {
			t.Errorf("standing %d: %d ends count of what ran there too, not %d", standing, len(verdict.Replicas), want)
		}
	}
}

// TestGuard_WatchesEachStartByItself: the watch of one start is not that of the next.
func TestGuard_WatchesEachStartByItself(t *testing.T) {
	guard, _, events := newGuard(Refused)
	for _, born := range []int64{1000, 2000, 3000} {
		guard.BrokeOff(t.Context(), Replica{ID: "r", Born: born, Address: "r"}, Run{Work: work("w"), Began: time.Now()})
	}
	if events.ends() != 3 {
		t.Errorf("%d ends of three starts", events.ends())
	}
	if verdict := guard.List.Check(work("w"), time.Now()); len(verdict.Replicas) != 3 || !verdict.Quarantined {
		t.Errorf("the verdict is %+v", verdict)
	}
}

// TestGuard_WhatIsLeftAfterAStartIsToldAtOnce: nobody watched the replica.
func TestGuard_WhatIsLeftAfterAStartIsToldAtOnce(t *testing.T) {
	guard, replicas, events := newGuard(Accepted)
	replicas.leave("r", Restarted)
	guard.BrokeOff(t.Context(), Replica{ID: "r", Born: 1000, Address: "r"}, Run{Work: work("w"), Began: time.Now()})
	if events.ends() != 1 || events.ended[0].Born != 1000 {
		t.Errorf("told %+v", events.ended)
	}
}

// TestList_WorkSentAfterAnEndDidNotBringItAbout: a node that is cut off from the store goes on
// sending to a replica that ended long ago, and something at its address, a machine that is
// lost or the next replica there, breaks the connections off. The node finds that replica gone
// from its list afterwards and tells of its end, with the work that it sent. Each such work
// counted as if it had run when the replica ended, and popular work, which such a node sends to
// several replicas in turn, was refused everywhere.
//
// Seen in a soak (seed 7215): server-7 ended at 35.36 s under a harmful
// request ("replica ended under work of this node" at node-4 and node-7). Node-0 wrote "attempt
// sent" to it at 41.247 s and node-6 at 41.426 s, "attempt failed" 1 ms later and the same line
// of the end; node-6 then wrote "work quarantined" for its work, with server-7 the oldest of
// three and 3,594 of 3,600 s left, so with the end of six seconds before.
func TestList_WorkSentAfterAnEndDidNotBringItAbout(t *testing.T) {
	for _, order := range [][]string{{"seen", "late"}, {"late", "seen"}} {
		var list List
		harmful, popular := work("harmful"), work("popular")
		for _, report := range order {
			switch report {
			case "seen":
				endedAt(&list, "r", 1000, 0, harmful)
			case "late":
				endedAt(&list, "r", 1000, 6*time.Second, popular)
			}
		}
		if got := countedEnds(&list, harmful); got != 1 {
			t.Errorf("%v: %d ends count against work that was there, not 1", order, got)
		}
		if got := countedEnds(&list, popular); got != 0 {
			t.Errorf("%v: %d ends count against work that was sent later", order, got)
		}
	}
}

// TestList_WorkThatWasThereCountsThoughItIsToldLate: a node that was held up hears of an end
// late, and what it had there had been sent before it.
func TestList_WorkThatWasThereCountsThoughItIsToldLate(t *testing.T) {
	var list List
	held := work("held up")
	endedAt(&list, "r", 1000, 0, work("other"))
	at := start.Add(6 * time.Second)
	list.Add(Report{Replica: "r", Born: 1000, Runs: runsOf(start.Add(-50*time.Millisecond), held), At: at}, at)
	if got := countedEnds(&list, held); got != 1 {
		t.Errorf("%d ends count, not 1", got)
	}
}
