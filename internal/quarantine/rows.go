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
	prefixEnd      = "end/"
	prefixClearing = "cleared/"
)

// errClockUnknown reports that the table's clock has not been seen yet.
var errClockUnknown = Error.New("the table's clock is not known yet")

// endRow is the body of the row of an end. Times are of the table's steady clock, in ms.
type endRow struct {
	Replica string `cbor:"1,keyasint"`
	Works   []Work `cbor:"2,keyasint"`
	At      int64  `cbor:"3,keyasint"`
	// Lasted is how long each of Works had run.
	Lasted []int64 `cbor:"4,keyasint,omitempty"`
	// Born tells which start of the replica ended; absent if that is not known.
	Born int64 `cbor:"5,keyasint,omitempty"`
	// Well is how long before the end each of Works was last seen to end well, in ms and at
	// least 1; 0 if the writer has not seen it. Without it a restart of all nodes, which forget
	// that, would have a popular work refused for the ends that it met by chance.
	Well []int64 `cbor:"6,keyasint,omitempty"`
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
	// Malformed, if set, is told of rows that cannot be read; they are passed over.
	Malformed func(key table.Key, err error)

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

// fact is what a row tells.
type fact struct {
	at       time.Time
	report   *Report
	clearing *Clearing
}

// Apply takes in changes of the group that the partition belongs to.
func (r *Rows) Apply(changes table.Changes, whole bool) {
	facts := r.take(changes)
	slices.SortStableFunc(facts, func(a, b fact) int { return a.at.Compare(b.at) })
	// Clearings come first: no work is refused, for a moment, by ends that were cleared.
	for _, one := range facts {
		if one.clearing != nil {
			r.Guard.List.Clear(one.clearing.Work, one.clearing.At)
		}
	}
	for _, one := range facts {
		if one.report != nil {
			r.Guard.Take(*one.report)
		}
	}
	if whole {
		r.Guard.read()
	}
}

func (r *Rows) take(changes table.Changes) []fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableNow, r.readAt = changes.Now, clock.Now()
	if r.rows == nil {
		r.rows = map[string]rowState{}
	}
	var facts []fact
	for _, change := range changes.Changes {
		if change.Partition != r.Partition {
			continue
		}
		if change.Removed {
			delete(r.rows, change.Sort)
			continue
		}
		told, err := r.decode(change.Row)
		if err != nil {
			if r.Malformed != nil {
				r.Malformed(change.Key, err)
			}
			continue
		}
		r.rows[change.Sort] = rowState{version: change.Version, at: told[0].at}
		facts = append(facts, told...)
	}
	return facts
}

// decode reads a row. Of what it tells the row's own fact comes first. The caller holds mu.
func (r *Rows) decode(row table.Row) ([]fact, error) {
	if name, ok := strings.CutPrefix(row.Sort, prefixClearing); ok {
		work, err := ParseWork(name)
		if err != nil {
			return nil, err
		}
		var body clearingRow
		if err := cbor.Unmarshal(row.Body, &body); err != nil {
			return nil, Error.Wrap(err)
		}
		at := r.local(body.At)
		return []fact{{at: at, clearing: &Clearing{Work: work, At: at}}}, nil
	}
	var body endRow
	if err := cbor.Unmarshal(row.Body, &body); err != nil {
		return nil, Error.Wrap(err)
	}
	at := r.local(body.At)
	report := &Report{Replica: body.Replica, Born: body.Born, Runs: RunsOf(body.Works, body.Lasted, at), At: at}
	facts := []fact{{at: at, report: report}}
	for _, clearing := range WellOf(body.Works, body.Well, at) {
		facts = append(facts, fact{at: clearing.At, clearing: &clearing})
	}
	return facts, nil
}

// local returns a time of the table's clock by this node's. The caller holds mu.
func (r *Rows) local(at int64) time.Time {
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

// Told returns the runs of a report as they are told: the works, and how long each had run, in
// ms.
func (r *Report) Told() (works []Work, lasted []int64) {
	for _, run := range r.Runs {
		works = append(works, run.Work)
		lasted = append(lasted, r.At.Sub(run.Began).Milliseconds())
	}
	return works, lasted
}

// RunsOf returns runs that were told, at the end of a replica. One of which it is not told how
// long it lasted counts as having begun with the replica's end.
func RunsOf(works []Work, lasted []int64, at time.Time) []Run {
	runs := make([]Run, len(works))
	for i, work := range works {
		runs[i] = Run{Work: work, Began: at}
		if i < len(lasted) {
			runs[i].Began = at.Add(-time.Duration(max(0, lasted[i])) * time.Millisecond)
		}
	}
	return runs
}

// putEnd returns the write of the row of an end.
func (r *Rows) putEnd(name string, report Report) (table.Write, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, err := r.tableTime(report.At)
	if err != nil {
		return table.Write{}, err
	}
	works, lasted := report.Told()
	return r.put(prefixEnd+name, endRow{
		Replica: report.Replica, Works: works, At: at, Lasted: lasted, Born: report.Born, Well: r.Guard.List.WellBefore(works, report.At),
	})
}

// WellBefore returns for each work how long before an end it was last seen here to end well, as
// that is told: in ms and at least 1, 0 if it was not.
func (l *List) WellBefore(works []Work, end time.Time) []int64 {
	well := make([]int64, len(works))
	for i, work := range works {
		if at, ok := l.EndedWell(work); ok && at.Before(end) {
			well[i] = max(1, end.Sub(at).Milliseconds())
		}
	}
	return well
}

// WellOf returns the good ends of works that were told with the end of a replica.
func WellOf(works []Work, well []int64, end time.Time) []Clearing {
	var clearings []Clearing
	for i, before := range well[:min(len(well), len(works))] {
		if before > 0 {
			clearings = append(clearings, Clearing{Work: works[i], At: end.Add(-time.Duration(before) * time.Millisecond)})
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

// toKeep returns up to so many works that end well often here and of which rows are to tell: what
// the nodes remember is gone when all of them restart, and the ends that work met stay.
func (r *Rows) toKeep(limit int) []Clearing {
	room := min(limit, maxKept-r.clearings())
	if room <= 0 {
		return nil
	}
	return r.Guard.repeats.lasting(clock.Now(), r.Guard.List.memory()/2, room, r.clearedAt)
}

// clearings counts the rows of works that ended well; maxKept of them are taken to be there until
// the rows have been read.
func (r *Rows) clearings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return maxKept
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

// learn takes in the versions of rows that a write met.
func (r *Rows) learn(rows []table.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		known := r.rows[row.Sort]
		known.version = max(known.version, row.Version)
		if told, err := r.decode(row); err == nil {
			known.at = told[0].at
		} else if known.at.IsZero() {
			known.at = clock.Now()
		}
		if r.rows == nil {
			r.rows = map[string]rowState{}
		}
		r.rows[row.Sort] = known
	}
}

// outdated returns writes that remove up to so many rows that count no more.
func (r *Rows) outdated(limit int) []table.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []table.Write
	for name, known := range r.rows {
		if len(writes) == limit {
			break
		}
		if clock.Since(known.at) > r.Guard.List.memory() {
			key := table.Key{Partition: r.Partition, Sort: name}
			writes = append(writes, table.Write{Key: key, Kind: table.Delete, Expect: known.version})
		}
	}
	return writes
}
