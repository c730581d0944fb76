package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Prefixes of row keys. There is one crash row per crash and node that had runs on the replica, and
// one clearing row per cleared work.
const (
	prefixCrash    = "end/"
	prefixClearing = "cleared/"
)

// errClockUnknown is returned for writes before the first read of the table.
var errClockUnknown = Error.New("the table's clock is not known yet")

// crashRow is the body of a crash row. Times are in milliseconds of the table's monotonic clock.
type crashRow struct {
	Replica string `cbor:"1,keyasint"`
	Works   []Work `cbor:"2,keyasint"`
	At      int64  `cbor:"3,keyasint"`
	// Durations is how long each of Works had run before the crash, in ms.
	Durations []int64 `cbor:"4,keyasint,omitempty"`
	// StartedUnixMs identifies the start that crashed; absent if it is not known.
	StartedUnixMs int64 `cbor:"5,keyasint,omitempty"`
	// SuccessAges is how long before the crash each of Works last succeeded, in ms and at least 1;
	// 0 if the writer has not seen a success. Without it, popular work would be refused after a
	// restart of all nodes because of crashes it was merely present at.
	SuccessAges []int64 `cbor:"6,keyasint,omitempty"`
	// Trials are those of Works whose run was a trial.
	Trials []Work `cbor:"7,keyasint,omitempty"`
	// Parts are the parts of the prompts of the runs. The other fields correspond to those of Works.
	Parts           []Work  `cbor:"8,keyasint,omitempty"`
	PartDurations   []int64 `cbor:"9,keyasint,omitempty"`
	PartSuccessAges []int64 `cbor:"10,keyasint,omitempty"`
	PartTrials      []Work  `cbor:"11,keyasint,omitempty"`
}

// clearingRow is the body of a clearing row.
type clearingRow struct {
	At   int64 `cbor:"1,keyasint"`
	Part bool  `cbor:"2,keyasint,omitempty"`
}

// Rows follows the crash and clearing rows of the table. It is safe for concurrent use.
type Rows struct {
	// Partition is the partition of the rows; rows of other partitions are ignored.
	Partition string
	// Guard records the crashes, and its List the clearings.
	Guard *Guard
	// OnMalformed, if set, is called for rows that cannot be decoded; they are skipped.
	OnMalformed func(key table.Key, err error)

	mu sync.Mutex
	// tableNow is the table's clock at readAt.
	tableNow time.Duration
	readAt   time.Time
	rows     map[string]rowState
}

// rowState is the last known state of a row.
type rowState struct {
	version uint64
	// at is the time of the crash or clearing, on this node's clock.
	at time.Time
}

// rowEvent is a crash report or a clearing from a row.
type rowEvent struct {
	at       time.Time
	report   *CrashReport
	clearing *Clearing
}

// Apply records changes of the table group that contains the partition. complete means that all
// rows have been read.
func (r *Rows) Apply(changes table.Changes, complete bool) {
	events := r.applyRows(changes)
	slices.SortStableFunc(events, func(a, b rowEvent) int { return a.at.Compare(b.at) })
	// Clearings come first, so that crashes they clear never quarantine work.
	for _, event := range events {
		if event.clearing != nil {
			r.Guard.Clear(*event.clearing)
		}
	}
	for _, event := range events {
		if event.report != nil {
			r.Guard.RecordCrash(*event.report)
		}
	}
	if complete {
		r.Guard.rowsLoaded()
	}
}

// applyRows updates the row states and returns the events of the changed rows.
func (r *Rows) applyRows(changes table.Changes) []rowEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableNow, r.readAt = changes.Now, clock.Now()
	if r.rows == nil {
		r.rows = map[string]rowState{}
	}
	var events []rowEvent
	for _, change := range changes.Changes {
		if change.Partition != r.Partition {
			continue
		}
		if change.Removed {
			delete(r.rows, change.Sort)
			continue
		}
		decoded, err := r.decode(change.Row)
		if err != nil {
			if r.OnMalformed != nil {
				r.OnMalformed(change.Key, err)
			}
			continue
		}
		r.rows[change.Sort] = rowState{version: change.Version, at: decoded[0].at}
		events = append(events, decoded...)
	}
	return events
}

// decode returns the events of a row: first its crash or clearing, then, for a crash row, the
// successes that it contains. The caller holds mu.
func (r *Rows) decode(row table.Row) ([]rowEvent, error) {
	if name, ok := strings.CutPrefix(row.Sort, prefixClearing); ok {
		work, err := ParseWork(name)
		if err != nil {
			return nil, err
		}
		var body clearingRow
		if err := cbor.Unmarshal(row.Body, &body); err != nil {
			return nil, Error.Wrap(err)
		}
		at := r.localTime(body.At)
		return []rowEvent{{at: at, clearing: &Clearing{Work: work, At: at, Part: body.Part}}}, nil
	}
	var body crashRow
	if err := cbor.Unmarshal(row.Body, &body); err != nil {
		return nil, Error.Wrap(err)
	}
	at := r.localTime(body.At)
	report := &CrashReport{
		Replica: body.Replica, StartedUnixMs: body.StartedUnixMs, At: at,
		Runs: DecodeRuns(body.Works, body.Durations, body.Trials, at), Parts: DecodeRuns(body.Parts, body.PartDurations, body.PartTrials, at),
	}
	events := []rowEvent{{at: at, report: report}}
	successes := DecodeSuccesses(body.Works, body.SuccessAges, at)
	for _, success := range DecodeSuccesses(body.Parts, body.PartSuccessAges, at) {
		success.Part = true
		successes = append(successes, success)
	}
	for _, clearing := range successes {
		events = append(events, rowEvent{at: clearing.At, clearing: &clearing})
	}
	return events, nil
}

// localTime converts a time of the table's clock, in ms, to this node's clock. Times later than
// tableNow become readAt. The caller holds mu.
func (r *Rows) localTime(at int64) time.Time {
	age := r.tableNow - time.Duration(at)*time.Millisecond
	return r.readAt.Add(-max(0, age))
}

// tableTime converts a time of this node's clock to the table's clock, in ms. It fails before the first
// read of the table. The caller holds mu.
func (r *Rows) tableTime(at time.Time) (int64, error) {
	if r.readAt.IsZero() {
		return 0, errClockUnknown
	}
	return (r.tableNow + at.Sub(r.readAt)).Milliseconds(), nil
}

// EncodeRuns returns runs on a replica that crashed in the form used in rows and messages: the works, and
// how long each had run before the crash, in ms.
func EncodeRuns(runs []Run, crashedAt time.Time) (works []Work, durations []int64) {
	for _, run := range runs {
		works = append(works, run.Work)
		durations = append(durations, crashedAt.Sub(run.SentAt).Milliseconds())
	}
	return works, durations
}

// Trials returns the works whose run was a trial.
func Trials(runs []Run) []Work {
	var trials []Work
	for _, run := range runs {
		if run.Trial {
			trials = append(trials, run.Work)
		}
	}
	return trials
}

// DecodeRuns returns the runs that EncodeRuns encoded, for a crash at the given time, with those of
// the works in trials marked as trials. A run without a duration counts as sent at the time of the
// crash.
func DecodeRuns(works []Work, durations []int64, trials []Work, at time.Time) []Run {
	runs := make([]Run, len(works))
	for i, work := range works {
		runs[i] = Run{Work: work, SentAt: at, Trial: slices.Contains(trials, work)}
		if i < len(durations) {
			runs[i].SentAt = at.Add(-time.Duration(max(0, durations[i])) * time.Millisecond)
		}
	}
	return runs
}

// putCrash returns the write of a crash row.
func (r *Rows) putCrash(name string, report CrashReport) (table.Write, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.tableTime(report.At)
	if err != nil {
		return table.Write{}, err
	}
	works, durations := EncodeRuns(report.Runs, report.At)
	row := crashRow{
		Replica: report.Replica, Works: works, At: at, Durations: durations, StartedUnixMs: report.StartedUnixMs, SuccessAges: r.Guard.List.EncodeSuccesses(works, report.At), Trials: Trials(report.Runs),
	}
	if r.Guard.Parts != nil {
		row.Parts, row.PartDurations = EncodeRuns(report.Parts, report.At)
		row.PartSuccessAges, row.PartTrials = r.Guard.Parts.EncodeSuccesses(row.Parts, report.At), Trials(report.Parts)
	}
	return r.put(prefixCrash+name, row)
}

// EncodeSuccesses returns how long before a crash each of works last succeeded, in the form used in
// rows and messages: in ms and at least 1, or 0 if no success is known.
func (l *List) EncodeSuccesses(works []Work, crashedAt time.Time) []int64 {
	ages := make([]int64, len(works))
	for i, work := range works {
		if at, ok := l.LastSuccess(work); ok && at.Before(crashedAt) {
			ages[i] = max(1, crashedAt.Sub(at).Milliseconds())
		}
	}
	return ages
}

// DecodeSuccesses returns the successes that EncodeSuccesses encoded, as clearings.
func DecodeSuccesses(works []Work, ages []int64, crashedAt time.Time) []Clearing {
	var clearings []Clearing
	for i, age := range ages[:min(len(ages), len(works))] {
		if age > 0 {
			clearings = append(clearings, Clearing{Work: works[i], At: crashedAt.Add(-time.Duration(age) * time.Millisecond)})
		}
	}
	return clearings
}

// putClearing returns the write of a clearing row.
func (r *Rows) putClearing(clearing Clearing) (table.Write, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.tableTime(clearing.At)
	if err != nil {
		return table.Write{}, err
	}
	return r.put(prefixClearing+clearing.Work.String(), clearingRow{At: at, Part: clearing.Part})
}

// clearedAt returns the time in the clearing row of work, or zero if there is none.
func (r *Rows) clearedAt(work Work) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[prefixClearing+work.String()].at
}

// successesToPersist returns the last successes of up to limit works that succeed frequently and
// have no recent clearing row. When all nodes restart, only rows preserve successes, while the
// crashes remain in the table.
func (r *Rows) successesToPersist(limit int) []Clearing {
	available := min(limit, maxClearingRows-r.clearingCount())
	if available <= 0 {
		return nil
	}
	return r.Guard.frequent.duePersist(clock.Now(), r.Guard.List.window()/2, available, r.clearedAt)
}

// clearingCount returns the number of clearing rows, or maxClearingRows if the rows have not been
// read, so that none are added before.
func (r *Rows) clearingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return maxClearingRows
	}
	count := 0
	for name := range r.rows {
		if strings.HasPrefix(name, prefixClearing) {
			count++
		}
	}
	return count
}

// put returns a write of a row that expects its last known version. The caller holds mu.
func (r *Rows) put(name string, body any) (table.Write, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return table.Write{}, Error.Wrap(err)
	}
	key := table.Key{Partition: r.Partition, Sort: name}
	return table.Write{Key: key, Kind: table.Put, Expect: r.rows[name].version, Body: encoded}, nil
}

// recordVersions records the rows that a conflicting write found.
func (r *Rows) recordVersions(rows []table.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		state := r.rows[row.Sort]
		state.version = max(state.version, row.Version)
		if decoded, err := r.decode(row); err == nil {
			state.at = decoded[0].at
		} else if state.at.IsZero() {
			state.at = clock.Now()
		}
		if r.rows == nil {
			r.rows = map[string]rowState{}
		}
		r.rows[row.Sort] = state
	}
}

// expired returns writes that remove up to limit rows older than the window.
func (r *Rows) expired(limit int) []table.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []table.Write
	for name, state := range r.rows {
		if len(writes) == limit {
			break
		}
		if clock.Since(state.at) > r.Guard.List.window() {
			key := table.Key{Partition: r.Partition, Sort: name}
			writes = append(writes, table.Write{Key: key, Kind: table.Delete, Expect: state.version})
		}
	}
	return writes
}
