package node

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// A message about crashes is answered with what its sender seems not to know. Answers are marked and never
// answered, and a crash that is known here neither changes anything nor causes a message. So the messages
// for one crash are at most proportional to the nodes. Whatever arrives, a node records and sends no more
// than these limits allow; what it leaves out reaches the nodes through the table.
const (
	// evaluationRate bounds the work for crashes that other nodes report, in known crashes that are looked
	// at in a second, and evaluationBurst that at once. A new crash costs as many as are known, since its
	// parts of prompts are judged by all of them; 4,000 take some 50 ms.
	evaluationRate  = 4000
	evaluationBurst = 40_000
	// maxCrashReplies is the number of answers to crash reports that a node sends in a second, and
	// crashReplyBurst that of those at once. One has up to 1.4 KB.
	maxCrashReplies = 8
	crashReplyBurst = 32
)

// crashExchange records the crashes that other nodes report and decides what they are told. It is safe for
// concurrent use.
type crashExchange struct {
	guard                *quarantine.Guard
	evaluations, replies *rate.Limiter
	// onCut is called with the number of entries or answers that a limit leaves out, and its name.
	onCut func(limit string, count int)
}

// Limits in metrics and logs.
const (
	cutEntries = "entries"
	cutReplies = "replies"
)

func newCrashExchange(guard *quarantine.Guard, onCut func(limit string, count int)) *crashExchange {
	return &crashExchange{
		guard: guard, onCut: onCut,
		evaluations: rate.NewLimiter(evaluationRate, evaluationBurst), replies: rate.NewLimiter(maxCrashReplies, crashReplyBurst),
	}
}

// receive records the crashes of a message, and returns the answers to its sender. mayReply is set if this
// node is one of those that answer the sender.
func (e *crashExchange) receive(message *quarantineMessage, mayReply bool, now time.Time) []quarantineMessage {
	var replies []quarantineMessage
	for i := range message.Crashes {
		if e.evaluations.TokensAt(now) <= 0 {
			e.onCut(cutEntries, len(message.Crashes)-i)
			break
		}
		isNew := e.record(&message.Crashes[i], now)
		if isNew {
			e.evaluations.ReserveN(now, min(e.guard.KnownCrashes(), evaluationBurst))
		}
		if isNew && mayReply && !message.Reply {
			replies = append(replies, e.repliesTo(&message.Crashes[i], now)...)
		}
	}
	return e.limitReplies(replies, now)
}

// limitReplies returns the answers that may be sent now.
func (e *crashExchange) limitReplies(replies []quarantineMessage, now time.Time) []quarantineMessage {
	for i := range replies {
		if !e.replies.AllowN(now, 1) {
			e.onCut(cutReplies, len(replies)-i)
			return replies[:i]
		}
	}
	return replies
}

// record records a crash that another node reports, after the successes that it had seen before. It reports
// whether the crash was new here.
func (e *crashExchange) record(entry *crashEntry, now time.Time) bool {
	at := ago(now, entry.AgeMs)
	for _, success := range quarantine.DecodeSuccesses(entry.Works, entry.SuccessAges, at) {
		e.guard.Clear(success)
	}
	for _, success := range quarantine.DecodeSuccesses(entry.Parts, entry.PartSuccessAges, at) {
		success.Part = true
		e.guard.Clear(success)
	}
	return e.guard.RecordCrash(quarantine.CrashReport{
		Replica: entry.Replica, StartedUnixMs: entry.StartedUnixMs, At: at,
		Runs:  quarantine.DecodeRuns(entry.Works, entry.Durations, entry.Trials, at),
		Parts: quarantine.DecodeRuns(entry.Parts, entry.PartDurations, entry.PartTrials, at),
	})
}

// repliesTo returns what a node that reports a crash under a quarantined part, other than of a trial, is told
// of the part. A node that started while the table did not answer has not read it there.
func (e *crashExchange) repliesTo(entry *crashEntry, now time.Time) []quarantineMessage {
	var replies []quarantineMessage
	for _, part := range entry.Parts {
		if slices.Contains(entry.PartTrials, part) {
			continue
		}
		reply := quarantineMessage{Reply: true}
		for _, report := range e.guard.Parts.ReportsOf(part, ago(now, entry.AgeMs), maxMessageCrashes) {
			reply.Crashes = append(reply.Crashes, e.newEntry(report, now))
		}
		if len(reply.Crashes) > 0 {
			replies = append(replies, reply)
		}
	}
	return replies
}

// newEntry returns the message entry of a crash.
func (e *crashExchange) newEntry(report quarantine.CrashReport, now time.Time) crashEntry {
	entry := crashEntry{
		Replica: report.Replica, StartedUnixMs: report.StartedUnixMs, AgeMs: now.Sub(report.At).Milliseconds(),
		Trials: quarantine.Trials(report.Runs), PartTrials: quarantine.Trials(report.Parts),
	}
	entry.Works, entry.Durations = quarantine.EncodeRuns(report.Runs, report.At)
	entry.SuccessAges = e.guard.List.EncodeSuccesses(entry.Works, report.At)
	entry.Parts, entry.PartDurations = quarantine.EncodeRuns(report.Parts, report.At)
	entry.PartSuccessAges = e.guard.Parts.EncodeSuccesses(entry.Parts, report.At)
	return entry
}
