package jobs

import (
	"strings"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// The quota of an account, which is a tenant on a route, is kept over all nodes
// without a row that every acceptance would have to change. Each shard of jobs has a
// counter row an account and an equal part of the quota (an escrow, O'Neil, 1986). An acceptance is conditional on the
// counter of its job's shard alone while that shard stays within its part. Beyond
// it, an acceptance is conditional on the counters of all shards and moves all of
// them on, and so does every later one until each shard is within its part again.
//
// By induction the jobs accepted never exceed the quota: counters of all shards
// agree on the quota and on whether acceptances are joint, for only a write of all
// of them changes either; and between two such writes a shard only grows up to
// its part.
//
// A counter also holds the sum of the tokens ever accepted in its shard, and each
// job the sum that it led to. So a writer whose condition failed learns from the
// counter in the answer how many tokens were accepted that it has not heard of, and
// tries again at once instead of waiting for the feed.

// account says whose unfinished items are counted together.
type account struct{ route, tenant string }

// accountSeparator parts the two names in keys; no name holds it.
const accountSeparator = "\x1f"

// String returns the name of the account in keys. Without a tenant it is the route's.
func (a account) String() string {
	if a.tenant == "" {
		return a.route
	}
	return a.route + accountSeparator + a.tenant
}

func (s *Submission) account() account { return account{s.Route, s.Tenant} }

func (j *Job) account() account { return account{j.Route, j.Tenant} }

// counter is the counter row of an account and a shard.
type counter struct {
	// Accepted is the sum of the tokens of all jobs ever accepted in the shard.
	Accepted int64 `cbor:"1,keyasint"`
	// Quota is the account's quota as of the last write of all shards' counters.
	Quota int64 `cbor:"2,keyasint"`
	// Joint says that a shard was beyond its part of the quota then.
	Joint bool `cbor:"3,keyasint,omitempty"`
}

// counterKey names the counter row of an account and a shard. It lies in the partition
// of the shard's jobs, so that one transaction of one partition accepts a job, and
// before the jobs, so that a whole read never shows a counter without its jobs.
func counterKey(acct account, shard string) table.Key {
	return table.Key{Partition: Group + "/" + shard, Sort: prefixCounter + acct.String()}
}

// knownCounter is what a node knows of a counter.
type knownCounter struct {
	counter
	version uint64
	// settled is Accepted as of the newest row that came by the feed: all jobs
	// accepted up to there have come as well.
	settled int64
}

// resetCounter takes in that the feed has come to a counter row that cannot be read. All jobs that
// were accepted under earlier versions have come too, so the tokens in use are known from
// them, and the next acceptance writes the counter anew over that version. It changes the
// counters of all shards, for nobody can tell what this one said of the quota. Not by a
// conflict: one may show the row before the feed brings the jobs. The caller holds mu.
func (v *View) resetCounter(change table.Change) {
	known := v.counters[change.Key]
	if change.Removed || !strings.HasPrefix(change.Sort, prefixCounter) || change.Version <= known.version {
		return
	}
	known.Accepted = max(known.Accepted, known.settled)
	for id, job := range v.jobs {
		if counterKey(job.account(), shardOf(id)) == change.Key {
			known.Accepted = max(known.Accepted, job.Accepted)
		}
	}
	known.Quota, known.Joint = 0, true
	known.settled, known.version = known.Accepted, change.Version
	v.counters[change.Key] = known
}

// usage is what a node knows of the quota in use in one shard.
type usage struct {
	counter
	version uint64
	// used is the number of tokens of unfinished items. It can only be too high.
	used int64
}

// usages returns the quota that an account uses, by shard.
func (v *View) usages(acct account) [shards]usage {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all [shards]usage
	for shard := range all {
		known := v.counters[counterKey(acct, shardName(shard))]
		all[shard] = usage{counter: known.counter, version: known.version, used: max(0, known.Accepted-known.settled)}
	}
	for id, entry := range v.progress {
		if entry.Job.account() != acct {
			continue
		}
		shard := shardNumber(id)
		all[shard].used += entry.unfinishedTokens()
		known := v.counters[counterKey(acct, shardName(shard))]
		if entry.Job.Accepted > known.settled && entry.Job.Accepted <= known.Accepted {
			all[shard].used -= entry.Job.tokens()
		}
	}
	return all
}

// used returns the tokens of an account's unfinished items.
func (v *View) used(acct account) int64 { return totalUsed(v.usages(acct)) }

func totalUsed(all [shards]usage) int64 {
	var sum int64
	for _, u := range all {
		sum += u.used
	}
	return sum
}

// shardQuota is what a shard may hold of a quota by itself.
func shardQuota(quota int64) int64 { return quota / shards }

// fitsShard reports whether a job of so many tokens may be accepted on the condition of
// its own shard's counter only.
func (u *usage) fitsShard(quota, tokens int64) bool {
	return u.version != table.Absent && u.Quota == quota && !u.Joint && u.used+tokens <= shardQuota(quota)
}

// reserveQuota returns the changes of counters that accept a job, and the sum that its
// shard's counter comes to. ok is false if the job does not fit.
func reserveQuota(all [shards]usage, id string, acct account, quota, tokens int64) (writes []table.Write, accepted int64, ok bool) {
	own := shardNumber(id)
	accepted = all[own].Accepted + tokens
	if all[own].fitsShard(quota, tokens) {
		next := counter{Accepted: accepted, Quota: quota}
		return []table.Write{all[own].counterWrite(acct, own, next)}, accepted, true
	}
	if totalUsed(all)+tokens > quota {
		return nil, 0, false
	}
	all[own].used += tokens
	joint := false
	for _, u := range all {
		joint = joint || u.used > shardQuota(quota)
	}
	for shard := range all {
		next := counter{Accepted: all[shard].Accepted, Quota: quota, Joint: joint}
		if shard == own {
			next.Accepted = accepted
		}
		writes = append(writes, all[shard].counterWrite(acct, shard, next))
	}
	return writes, accepted, true
}

// counterWrite is the change of a counter on the condition that it is as known.
func (u *usage) counterWrite(acct account, shard int, next counter) table.Write {
	return table.Write{Key: counterKey(acct, shardName(shard)), Expect: u.version, Body: encode(next)}
}
