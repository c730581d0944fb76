// Package jobs runs batch jobs of opaque items and stores their results by position.
//
// A job is two rows of a table group that every node follows: a job row, written once when the job
// is accepted, and a progress row, changed by every commit of results, takeover and end. A result
// is listed, that is given its position, by the same write that stores it, on condition that the
// progress row still has the version known to the writer. So an item has one position that never
// changes, whichever node ran it and however often. Acceptances under a quota are serialized by
// counter rows, one for each account and shard, which arrive in the same feed as the jobs.
package jobs

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
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
	// ErrQuota reports that a job does not fit its quota; it did not run and never will.
	ErrQuota = errors.New("job does not fit the quota")
	// ErrNotAccepted reports that a job was not accepted; it never runs.
	ErrNotAccepted = errors.New("store unavailable, job not accepted")
	// ErrUnknownOutcome reports that a job may have been accepted. Submitting it again with the
	// same id is safe.
	ErrUnknownOutcome = errors.New("job acceptance undecided, send it again")
	// ErrSuperseded reports that a guard of the submission does not hold; the job did not run and
	// never will.
	ErrSuperseded = errors.New("job superseded")
	// ErrIDTaken reports that another tenant has a job with the same id.
	ErrIDTaken = errors.New("another tenant has a job with this id")
	// ErrUnavailable reports that the store did not answer in time.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnreadable reports that the stored state of a job cannot be read. It stays unreadable
	// until a readable row replaces it.
	ErrUnreadable = errors.New("what is stored of the job cannot be read")
	// ErrInvalid reports a submission that can never be accepted.
	ErrInvalid = errors.New("invalid job")
)

const (
	// Group is the table group that holds jobs, progress and counter rows.
	Group = "work"
	// groupResults holds results and checkpoints. No node follows it.
	groupResults = "results"
	// shards is the number of partitions that jobs are spread over, because the write rate of a
	// partition is limited.
	shards = 4
	// MaxItems bounds the items of a job.
	MaxItems = 200
	// maxRowText bounds the text in a result row, in bytes; longer texts become objects.
	maxRowText = 40 << 10
)

// Item is one request of a job.
type Item struct {
	ID     string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens counts the prompt and the maximum length of the answer.
	Tokens int64 `cbor:"5,keyasint"`
	// AtMostOnce items are never sent again once they may have run.
	AtMostOnce bool `cbor:"6,keyasint,omitempty"`
	// Label is set by the submitter and kept with the item.
	Label string `cbor:"7,keyasint,omitempty"`
}

// Submission is a job to be accepted.
type Submission struct {
	ID    string
	Route string
	Host  string
	// Tenant names who submits the job; empty if tenants are not distinguished.
	Tenant string
	Items  []Item
	// Quota bounds the tokens of the tenant's unfinished items on the route; 0 means no quota.
	Quota      int64
	Completion time.Duration
	Retention  time.Duration
	// FIFO orders jobs by their acceptance instead of their due times; HeadStart puts this one
	// ahead by so much.
	FIFO      bool
	HeadStart time.Duration
	// Guards are conditions on other rows. If one does not hold, the job is not accepted
	// (ErrSuperseded).
	Guards []table.Write
}

// ItemHead is the part of an item that its job row holds.
type ItemHead struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
	// Node is the index, in Nodes of the job, of the node that runs the item.
	Node int `cbor:"3,keyasint,omitempty"`
}

// Job is the job row. Times are those of the store's steady clock.
type Job struct {
	ID      string        `cbor:"1,keyasint"`
	Route   string        `cbor:"2,keyasint"`
	Host    string        `cbor:"3,keyasint"`
	Items   []ItemHead    `cbor:"4,keyasint"`
	Created time.Duration `cbor:"5,keyasint"`
	// Due is when all results are due, Expires when unfinished items expire.
	Due time.Duration `cbor:"6,keyasint"`
	// Rank orders jobs that can still be in time, the lowest first.
	Rank    time.Duration `cbor:"9,keyasint,omitempty"`
	Expires time.Duration `cbor:"7,keyasint"`
	// Chunks is the number of rows with the content; 0 means an object holds it.
	Chunks int `cbor:"8,keyasint,omitempty"`
	// Nodes are the nodes that the items are spread over. If there are none, the owner named in the
	// progress row runs all items.
	Nodes []string `cbor:"10,keyasint,omitempty"`
	// Accepted is the value of the job's counter after its acceptance, in tokens; 0 on a route
	// without a quota.
	Accepted int64 `cbor:"11,keyasint,omitempty"`
	// Tenant names who submitted the job; empty if tenants are not distinguished.
	Tenant string `cbor:"12,keyasint,omitempty"`
	// Regions are the regions of Nodes: only one if it is the same for all, none if they are
	// unknown.
	Regions []string `cbor:"13,keyasint,omitempty"`
	// OtherRoutes are the routes besides Route that items belong to.
	OtherRoutes []string `cbor:"14,keyasint,omitempty"`
	// AllowedRegions are the regions where the job might run when it was accepted, none for
	// anywhere. Regions declared since take precedence.
	AllowedRegions place.Regions `cbor:"15,keyasint,omitempty"`

	// Content names the content of the submission that was accepted, unlike that of any other with the
	// same id; empty in rows of earlier versions.
	Content string `cbor:"16,keyasint,omitempty"`

	// version is the version of the row this was read from.
	version uint64
}

// tokens returns the tokens of all items together.
func (j *Job) tokens() int64 {
	var total int64
	for _, item := range j.Items {
		total += item.Tokens
	}
	return total
}

// rank returns the job's place among others, the lowest first.
func (j *Job) rank() time.Duration {
	if j.Rank != 0 {
		return j.Rank
	}
	return j.Due
}

// Listed is an entry in the result list of a job.
type Listed struct {
	Item int  `cbor:"1,keyasint"`
	Dead bool `cbor:"2,keyasint,omitempty"`
}

// Progress is the progress row.
type Progress struct {
	// Owner is the session of the node that runs the items.
	Owner string `cbor:"1,keyasint,omitempty"`
	// Ended jobs accept no more results.
	Ended bool `cbor:"2,keyasint,omitempty"`
	// Listed holds the listed items by position. The list only grows.
	Listed []Listed `cbor:"3,keyasint,omitempty"`
	// Failures counts failed runs of items, as of the last release.
	Failures map[int]int `cbor:"4,keyasint,omitempty"`
	// Started holds the at-most-once items that were about to be sent.
	Started []int `cbor:"5,keyasint,omitempty"`
	// Reassigned names the nodes that took items over from lost nodes.
	Reassigned map[int]string `cbor:"6,keyasint,omitempty"`
}

// position returns the position of an item in the list, or -1.
func (p *Progress) position(item int) int {
	return slices.IndexFunc(p.Listed, func(listed Listed) bool { return listed.Item == item })
}

// isListed reports whether an item is listed.
func (p *Progress) isListed(item int) bool { return p.position(item) >= 0 }

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

// Reason is why a dead item has no answer.
type Reason string

const (
	// Expired items did not complete before they expired.
	Expired Reason = "expired"
	// Invalid items were rejected permanently by a replica.
	Invalid Reason = "invalid"
	// Failed items failed in each run that they were allowed.
	Failed Reason = "failed"
	// Undecided items may run only once and may have run.
	Undecided Reason = "undecided"
	// Quarantined items crashed the replicas that ran them. Only earlier versions ended items so.
	Quarantined Reason = "quarantined"
)

// Result is one listed result.
type Result struct {
	Item string
	Dead bool
	Text string
	// Reason is why a dead item has no answer.
	Reason Reason
}

// storedResult is a result row, or the checkpoint of an unfinished item.
type storedResult struct {
	Text string `cbor:"1,keyasint,omitempty"`
	// Object names the object that holds a text too long for a row.
	Object string `cbor:"2,keyasint,omitempty"`
	// LastEvent is the id of the last event of a checkpoint.
	LastEvent int `cbor:"3,keyasint,omitempty"`
	// Reason is why a dead item has no answer.
	Reason Reason `cbor:"4,keyasint,omitempty"`
	// Software is the software version that wrote the text of a checkpoint.
	Software string `cbor:"5,keyasint,omitempty"`

	// version is the version of the row this was read from.
	version uint64
}

func shardNumber(job string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(job))
	return int(sum.Sum32() % shards)
}

func shardName(number int) string { return strconv.Itoa(number) }

func shardOf(job string) string { return shardName(shardNumber(job)) }

// memberPart holds the rows of the live nodes. It is read first, so that the nodes named by a job
// are known before the job, and is separate from the shards of jobs, which need their write rate.
const memberPart = "members"

// Parts lists the parts of Group, each of which is a partition, in the order in which they must be
// read.
func Parts() []string {
	all := []string{memberPart, quarantinePart, softwarePart}
	for shard := range shards {
		all = append(all, shardName(shard))
	}
	return all
}

// quarantinePart holds the rows about crashed replicas and the work that ran there.
const quarantinePart = "quarantine"

// QuarantinePartition returns the partition of the rows about crashed replicas and the work that
// ran there. Nodes follow it together with the jobs, so it costs no extra calls.
func QuarantinePartition() string { return Group + "/" + quarantinePart }

// softwarePart holds the rows about the software versions that pools have run.
const softwarePart = "software"

// SoftwarePartition returns the partition of the rows about the software versions that pools have run.
// Nodes follow it together with the jobs.
func SoftwarePartition() string { return Group + "/" + softwarePart }

// MemberPartition returns the partition of the rows of the live nodes.
func MemberPartition() string { return Group + "/" + memberPart }

// Prefixes of the keys of rows in a part. Counters sort first, see counterKey.
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

// contentObject returns the name of the object with the content of a job. Versions that did not name
// contents had one name for all submissions of a job.
func contentObject(job, content string) string {
	if content == "" {
		return "job-" + job
	}
	return "job-" + job + "-" + content
}

func encode(record any) []byte {
	body, err := cbor.Marshal(record)
	if err != nil {
		// The records of this package hold nothing that cannot be encoded.
		panic(err)
	}
	return body
}

func decode(body []byte, record any) error { return Error.Wrap(cbor.Unmarshal(body, record)) }
