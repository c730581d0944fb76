package jobs

import (
	"strings"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// The quota of an account, which is a tenant on a route, is enforced across all nodes without a row
// that every acceptance would have to change. Each shard of jobs has a counter row for the account
// and an equal part of the quota (an escrow, O'Neil, 1986). While a shard stays within its part, an
// acceptance is conditional only on the counter of its job's shard. Beyond that, an acceptance is
// conditional on the counters of all shards and advances all of them, as does every later one until
// each shard is within its part again.
//
// By induction, the accepted jobs never exceed the quota: the counters of all shards agree on the
// quota and on whether acceptances are joint, because only a write of all of them changes either;
// and between two such writes a shard grows only up to its part.
//
// A counter also holds the sum of the tokens ever accepted in its shard, and each job the sum that
// it led to. So a writer whose condition failed learns from the counter in the conflict how many
// accepted tokens its view lacks, and retries at once instead of waiting for the feed.

// account identifies whose unfinished items are counted together.
type account struct{ route, tenant string }

// accountSeparator separates the two names in keys; no name contains it.
const accountSeparator = "\x1f"

// String returns the name of the account in keys. Without a tenant it is the name of the route.
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
	// Joint is set if a shard was beyond its part of the quota at that write.
	Joint bool `cbor:"3,keyasint,omitempty"`
}

// counterKey returns the key of the counter row of an account and a shard. The row is in the
// partition of the shard's jobs, so that one transaction of one partition accepts a job, and sorts
// before the jobs, so that a full read never shows a counter without its jobs.
func counterKey(acct account, shard string) table.Key {
	return table.Key{Partition: Group + "/" + shard, Sort: prefixCounter + acct.String()}
}

// knownCounter is what a node knows of a counter.
type knownCounter struct {
	counter
	version uint64
	// settled is the value of Accepted in the newest row that arrived by the feed. All jobs counted
	// in it have arrived as well.
	settled int64
}

// resetCounter handles a counter row from the feed that cannot be read. All jobs accepted under
// earlier versions have arrived by then, so the tokens in use are known from them, and the next
// acceptance overwrites the counter at that version. It changes the counters of all shards, because
// the quota in the unreadable row is unknown. Conflicts do not reset a counter: they may show the
// row before the feed brings the jobs. The caller holds mu.
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

// usage is what a node knows of the quota used in one shard.
type usage struct {
	counter
	version uint64
	// used is the number of tokens of unfinished items. It may be too high, but never too low.
	used int64
}

// usages returns the usage of an account in each shard.
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

// shardQuota returns the part of a quota that a shard may use by itself.
func shardQuota(quota int64) int64 { return quota / shards }

// fitsShard reports whether a job may be accepted conditional only on the counter of its own shard.
func (u *usage) fitsShard(quota, tokens int64) bool {
	return u.version != table.Absent && u.Quota == quota && !u.Joint && u.used+tokens <= shardQuota(quota)
}

// reserveQuota returns the counter writes that accept a job, and the resulting sum in its shard's
// counter. ok is false if the job does not fit.
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

// counterWrite returns a write of a counter on condition that it has the known version.
func (u *usage) counterWrite(acct account, shard int, next counter) table.Write {
	return table.Write{Key: counterKey(acct, shardName(shard)), Expect: u.version, Body: encode(next)}
}
