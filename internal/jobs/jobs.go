// Package jobs runs batch jobs of opaque items and keeps their results by
// position.
//
// A job is two rows of one group that every node follows: a job row, written
// once when the job is accepted, and a progress row, changed by every commit
// of results, take-over and end. A result is given its position in the very
// write that lists it, under the condition that the progress row is as the
// writer knows it; so an item has one position for good, whoever ran it and
// however often. Acceptance over a quota is serialized by counter rows of the
// route, one a shard of jobs, which arrive in the same feed as the jobs.
package jobs

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("jobs")

var (
	// ErrNotFound reports that there is no such job, item or content.
	ErrNotFound = errors.New("job not found")
	// ErrQuota reports that a job does not fit; it did not run and never will.
	ErrQuota = errors.New("job does not fit the quota")
	// ErrNotAccepted reports that a job was not accepted; it never runs.
	ErrNotAccepted = errors.New("store unavailable, job not accepted")
	// ErrUndecided reports that a job may have been accepted. Sending it again
	// is safe: it meets the same job.
	ErrUndecided = errors.New("job acceptance undecided, send it again")
	// ErrSuperseded reports that a guard of the submission does not hold; the job
	// did not run and never will.
	ErrSuperseded = errors.New("job superseded")
	// ErrIDTaken reports that another tenant has a job with the id.
	ErrIDTaken = errors.New("another tenant has a job with this id")
	// ErrUnavailable reports that the store did not answer in time.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnreadable reports that what the store holds of a job cannot be read. It stays
	// as it is until a row comes that can be read.
	ErrUnreadable = errors.New("what is stored of the job cannot be read")
	// ErrInvalid reports a submission that can never be accepted.
	ErrInvalid = errors.New("invalid job")
)

const (
	// Group is the table group that holds jobs, progress and counter rows.
	Group = "work"
	// groupResults holds results and kept texts. Nobody follows it.
	groupResults = "results"
	// shards spreads jobs, for a part of the table takes a limited rate of writes.
	shards = 4
	// MaxItems bounds the items of a job.
	MaxItems = 200
	// maxRowText bounds the text in a result row; longer ones become objects.
	maxRowText = 40 << 10
)

// Item is one request of a job.
type Item struct {
	ID     string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens counts the prompt and the most of the answer.
	Tokens int64 `cbor:"5,keyasint"`
	// AtMostOnce items are never sent again once they may have run.
	AtMostOnce bool `cbor:"6,keyasint,omitempty"`
	// Label is the submitter's own, kept with the item.
	Label string `cbor:"7,keyasint,omitempty"`
}

// Submission is a job as it is handed in.
type Submission struct {
	ID    string
	Route string
	Host  string
	// Tenant names who submits the job; empty where callers are not told apart.
	Tenant string
	Items  []Item
	// Quota bounds the tokens of the tenant's unfinished items on the route; 0 means none.
	Quota      int64
	Completion time.Duration
	Retention  time.Duration
	// FIFO says that jobs take turns in the order of their acceptance, not of
	// their due times; Advance lets this one go so much before its turn.
	FIFO      bool
	HeadStart time.Duration
	// Guards are conditions on other rows: should one of them not hold, the job
	// is not accepted (ErrSuperseded).
	Guards []table.Write
}

// ItemHead is what is always known of an item.
type ItemHead struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
	// Node is the index, in Nodes of the job, of the node that runs the item.
	Node int `cbor:"3,keyasint,omitempty"`
}

// Job is the job row. Times are of the store's steady clock.
type Job struct {
	ID      string        `cbor:"1,keyasint"`
	Route   string        `cbor:"2,keyasint"`
	Host    string        `cbor:"3,keyasint"`
	Items   []ItemHead    `cbor:"4,keyasint"`
	Created time.Duration `cbor:"5,keyasint"`
	// Due is when all results are due, Expires when items may be given up.
	Due time.Duration `cbor:"6,keyasint"`
	// Rank is the job's place among others that can be in time, the least first.
	Rank    time.Duration `cbor:"9,keyasint,omitempty"`
	Expires time.Duration `cbor:"7,keyasint"`
	// Chunks is the number of rows with the content; 0 means an object holds it.
	Chunks int `cbor:"8,keyasint,omitempty"`
	// Nodes are the nodes that run the items between them; without any, the owner
	// named in the progress row runs all.
	Nodes []string `cbor:"10,keyasint,omitempty"`
	// Accepted is the sum of tokens that the job's counter came to with it; 0 on a
	// route without a quota.
	Accepted int64 `cbor:"11,keyasint,omitempty"`
	// Tenant names who submitted the job; empty where callers are not told apart.
	Tenant string `cbor:"12,keyasint,omitempty"`
	// Regions are those of Nodes, one if all stand in the same, none if they do not tell.
	Regions []string `cbor:"13,keyasint,omitempty"`
	// OtherRoutes are the routes beside Route that items belong to.
	OtherRoutes []string `cbor:"14,keyasint,omitempty"`
	// AllowedRegions are the regions where the job might run when it was accepted, none for
	// anywhere; those declared since take precedence.
	AllowedRegions place.Regions `cbor:"15,keyasint,omitempty"`

	// version is that of the row this was read from.
	version uint64
}

// tokens counts the tokens of all items.
func (j *Job) tokens() int64 {
	var total int64
	for _, item := range j.Items {
		total += item.Tokens
	}
	return total
}

// rank returns the job's place among others, the least first.
func (j *Job) rank() time.Duration {
	if j.Rank != 0 {
		return j.Rank
	}
	return j.Due
}

// Listed is a result's place in the list of a job.
type Listed struct {
	Item int  `cbor:"1,keyasint"`
	Dead bool `cbor:"2,keyasint,omitempty"`
}

// Progress is the progress row.
type Progress struct {
	// Owner is the session of the node that runs the items.
	Owner string `cbor:"1,keyasint,omitempty"`
	// Ended jobs take no more results.
	Ended bool `cbor:"2,keyasint,omitempty"`
	// Listed results by position. The list only grows.
	Listed []Listed `cbor:"3,keyasint,omitempty"`
	// Failures counts failed runs of items, as of the last hand-over.
	Failures map[int]int `cbor:"4,keyasint,omitempty"`
	// Started items may run only once and were about to be sent.
	Started []int `cbor:"5,keyasint,omitempty"`
	// Reassigned names the nodes that took items over from lost ones.
	Reassigned map[int]string `cbor:"6,keyasint,omitempty"`
}

// isListed reports whether an item is listed.
func (p *Progress) isListed(item int) bool {
	for _, listed := range p.Listed {
		if listed.Item == item {
			return true
		}
	}
	return false
}

func (p *Progress) clone() *Progress {
	copied := *p
	copied.Listed = append([]Listed(nil), p.Listed...)
	copied.Started = append([]int(nil), p.Started...)
	copied.Failures = make(map[int]int, len(p.Failures))
	for item, count := range p.Failures {
		copied.Failures[item] = count
	}
	copied.Reassigned = maps.Clone(p.Reassigned)
	return &copied
}

// Reason says why an item has no answer.
type Reason string

const (
	// Expired items were not done before they could be given up.
	Expired Reason = "expired"
	// Invalid items can never be done.
	Invalid Reason = "invalid"
	// Failed items failed at each run that they could have.
	Failed Reason = "failed"
	// Undecided items may run only once and may have run.
	Undecided Reason = "undecided"
	// Quarantined items ended the replicas that ran them.
	Quarantined Reason = "quarantined"
)

// Result is one listed result.
type Result struct {
	Item string
	Dead bool
	Text string
	// Reason says why a dead item has no answer.
	Reason Reason
}

// storedResult is a result row, or the text kept of an unfinished item.
type storedResult struct {
	Text string `cbor:"1,keyasint,omitempty"`
	// Object names the object that holds a text too long for a row.
	Object string `cbor:"2,keyasint,omitempty"`
	// LastEvent is the last event of a kept text.
	LastEvent int `cbor:"3,keyasint,omitempty"`
	// Reason says why a dead item has no answer.
	Reason Reason `cbor:"4,keyasint,omitempty"`

	// version is that of the row this was read from.
	version uint64
}

func shardNumber(job string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(job))
	return int(sum.Sum32() % shards)
}

func shardName(number int) string { return strconv.Itoa(number) }

func shardOf(job string) string { return shardName(shardNumber(job)) }

// memberShard holds the rows of the nodes that are there. It is read first, so that a
// job is never known without the nodes that it names, and is apart from the shards,
// whose rate of writes the jobs need.
const memberShard = "members"

// Shards lists the parts of Group in the order in which they must be read.
func Shards() []string {
	all := []string{memberShard, quarantineShard}
	for shard := range shards {
		all = append(all, shardName(shard))
	}
	return all
}

// quarantineShard holds the rows of replicas that ended and of the work that ran there.
const quarantineShard = "quarantine"

// QuarantinePartition is the partition of the rows of replicas that ended and of the work
// that ran there. Nodes follow it with the jobs, which costs them no calls of its own.
func QuarantinePartition() string { return Group + "/" + quarantineShard }

// MemberPartition is the partition of the rows of the nodes that are there.
func MemberPartition() string { return Group + "/" + memberShard }

// Prefixes of the rows of a part. Counters come first, see counterKey.
const (
	prefixCounter  = "counter/"
	prefixJob      = "job/"
	prefixProgress = "progress/"
)

func jobKey(id string) table.Key {
	return table.Key{Partition: Group + "/" + shardOf(id), Sort: prefixJob + id}
}

func progressKey(id string) table.Key {
	return table.Key{Partition: Group + "/" + shardOf(id), Sort: prefixProgress + id}
}

func resultPartition(job string) string { return groupResults + "/" + shardOf(job) }

func resultKey(job string, position int) table.Key {
	return table.Key{Partition: resultPartition(job), Sort: fmt.Sprintf("%s/%06d", job, position)}
}

func checkpointKey(job string, item int) table.Key {
	return table.Key{Partition: resultPartition(job), Sort: fmt.Sprintf("%s/kept/%06d", job, item)}
}

func contentObject(job string) string { return "job-" + job }

func textObject(job string, item int) string { return fmt.Sprintf("text-%s-%d", job, item) }

func encode(record any) []byte {
	body, err := cbor.Marshal(record)
	if err != nil {
		// The records of this package hold nothing that cannot be encoded.
		panic(err)
	}
	return body
}

func decode(body []byte, record any) error { return Error.Wrap(cbor.Unmarshal(body, record)) }
