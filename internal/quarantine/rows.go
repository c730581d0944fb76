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

// Prefixes of the rows: one for each end and node that had work there, one for each work
// that was cleared.
const (
	prefixCrash    = "end/"
	prefixClearing = "cleared/"
)

// errClockUnknown reports that the table's clock has not been seen yet.
var errClockUnknown = Error.New("the table's clock is not known yet")

// crashRow is the body of the row of an end. Times are of the table's steady clock, in ms.
type crashRow struct {
	Replica string `cbor:"1,keyasint"`
	Works   []Work `cbor:"2,keyasint"`
	At      int64  `cbor:"3,keyasint"`
	// Durations is how long each of Works had run.
	Durations []int64 `cbor:"4,keyasint,omitempty"`
	// StartTime tells which start of the replica ended; absent if that is not known.
	StartTime int64 `cbor:"5,keyasint,omitempty"`
	// SuccessAges is how long before the end each of Works was last seen to end well, in ms and at
	// least 1; 0 if the writer has not seen it. Without it a restart of all nodes, which forget
	// that, would have a popular work refused for the ends that it met by chance.
	SuccessAges []int64 `cbor:"6,keyasint,omitempty"`
}

// clearingRow is the body of the row of a clearing.
type clearingRow struct {
	At int64 `cbor:"1,keyasint"`
}

// Rows are the rows of ends and clearings in the table, as the node follows them. It is safe
// for concurrent use.
type Rows struct {
	// Partition is where the rows are; rows of others are passed over.
	Partition string
	// Guard takes in ends; its list takes in clearings.
	Guard *Guard
	// OnMalformed, if set, is told of rows that cannot be read; they are passed over.
	OnMalformed func(key table.Key, err error)

	mu sync.Mutex
	// tableNow is the table's clock as of readAt.
	tableNow time.Duration
	readAt   time.Time
	rows     map[string]rowState
}

// rowState is what is known of a row.
type rowState struct {
	version uint64
	// at is the time that the row tells, by this node's clock.
	at time.Time
}

// rowEvent is what a row tells.
type rowEvent struct {
	at       time.Time
	report   *CrashReport
	clearing *Clearing
}

// Apply takes in changes of the group that the partition belongs to.
func (r *Rows) Apply(changes table.Changes, complete bool) {
	events := r.applyRows(changes)
	slices.SortStableFunc(events, func(a, b rowEvent) int { return a.at.Compare(b.at) })
	// Clearings come first: no work is refused, for a moment, by ends that were cleared.
	for _, event := range events {
		if event.clearing != nil {
			r.Guard.List.Clear(event.clearing.Work, event.clearing.At)
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

// decode reads a row. Of what it tells the row's own fact comes first. The caller holds mu.
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
		return []rowEvent{{at: at, clearing: &Clearing{Work: work, At: at}}}, nil
	}
	var body crashRow
	if err := cbor.Unmarshal(row.Body, &body); err != nil {
		return nil, Error.Wrap(err)
	}
	at := r.localTime(body.At)
	report := &CrashReport{Replica: body.Replica, StartTime: body.StartTime, Runs: DecodeRuns(body.Works, body.Durations, at), At: at}
	events := []rowEvent{{at: at, report: report}}
	for _, clearing := range DecodeSuccesses(body.Works, body.SuccessAges, at) {
		events = append(events, rowEvent{at: clearing.At, clearing: &clearing})
	}
	return events, nil
}

// localTime returns a time of the table's clock by this node's. The caller holds mu.
func (r *Rows) localTime(at int64) time.Time {
	age := r.tableNow - time.Duration(at)*time.Millisecond
	return r.readAt.Add(-max(0, age))
}

// tableTime returns a time of this node's clock by the table's. The caller holds mu.
func (r *Rows) tableTime(at time.Time) (int64, error) {
	if r.readAt.IsZero() {
		return 0, errClockUnknown
	}
	return (r.tableNow + at.Sub(r.readAt)).Milliseconds(), nil
}

// EncodeRuns returns the runs of a report as they are told: the works, and how long each had run, in
// ms.
func (r *CrashReport) EncodeRuns() (works []Work, durations []int64) {
	for _, run := range r.Runs {
		works = append(works, run.Work)
		durations = append(durations, r.At.Sub(run.SentAt).Milliseconds())
	}
	return works, durations
}

// DecodeRuns returns runs that were told, at the end of a replica. One of which it is not told how
// long it lasted counts as having begun with the replica's end.
func DecodeRuns(works []Work, durations []int64, at time.Time) []Run {
	runs := make([]Run, len(works))
	for i, work := range works {
		runs[i] = Run{Work: work, SentAt: at}
		if i < len(durations) {
			runs[i].SentAt = at.Add(-time.Duration(max(0, durations[i])) * time.Millisecond)
		}
	}
	return runs
}

// putCrash returns the write of the row of an end.
func (r *Rows) putCrash(name string, report CrashReport) (table.Write, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.tableTime(report.At)
	if err != nil {
		return table.Write{}, err
	}
	works, durations := report.EncodeRuns()
	return r.put(prefixCrash+name, crashRow{
		Replica: report.Replica, Works: works, At: at, Durations: durations, StartTime: report.StartTime, SuccessAges: r.Guard.List.EncodeSuccesses(works, report.At),
	})
}

// EncodeSuccesses returns for each work how long before an end it was last seen here to end well, as
// that is told: in ms and at least 1, 0 if it was not.
func (l *List) EncodeSuccesses(works []Work, crashedAt time.Time) []int64 {
	ages := make([]int64, len(works))
	for i, work := range works {
		if at, ok := l.LastSuccess(work); ok && at.Before(crashedAt) {
			ages[i] = max(1, crashedAt.Sub(at).Milliseconds())
		}
	}
	return ages
}

// DecodeSuccesses returns the good ends of works that were told with the end of a replica.
func DecodeSuccesses(works []Work, ages []int64, crashedAt time.Time) []Clearing {
	var clearings []Clearing
	for i, age := range ages[:min(len(ages), len(works))] {
		if age > 0 {
			clearings = append(clearings, Clearing{Work: works[i], At: crashedAt.Add(-time.Duration(age) * time.Millisecond)})
		}
	}
	return clearings
}

// putClearing returns the write of the row of a clearing.
func (r *Rows) putClearing(clearing Clearing) (table.Write, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.tableTime(clearing.At)
	if err != nil {
		return table.Write{}, err
	}
	return r.put(prefixClearing+clearing.Work.String(), clearingRow{At: at})
}

// clearedAt is when a work ended well by the row that tells it; zero if none is known.
func (r *Rows) clearedAt(work Work) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[prefixClearing+work.String()].at
}

// successesToPersist returns up to so many works that end well often here and of which rows are to tell: what
// the nodes remember is gone when all of them restart, and the ends that work met stay.
func (r *Rows) successesToPersist(limit int) []Clearing {
	available := min(limit, maxClearingRows-r.clearingCount())
	if available <= 0 {
		return nil
	}
	return r.Guard.frequent.duePersist(clock.Now(), r.Guard.List.window()/2, available, r.clearedAt)
}

// clearingCount counts the rows of works that ended well; maxKept of them are taken to be there until
// the rows have been read.
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

// put returns a write that takes the place of what is known of a row. The caller holds mu.
func (r *Rows) put(name string, body any) (table.Write, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return table.Write{}, Error.Wrap(err)
	}
	key := table.Key{Partition: r.Partition, Sort: name}
	return table.Write{Key: key, Kind: table.Put, Expect: r.rows[name].version, Body: encoded}, nil
}

// recordVersions takes in the versions of rows that a write met.
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

// expired returns writes that remove up to so many rows that count no more.
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
