package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// report is a line that a replica writes to its standard output.
type report struct {
	Kind string `json:"kind"`
	// Address is set in the first line, the other fields in those about requests.
	Address string `json:"address,omitempty"`
	Request string `json:"request,omitempty"`
	After   int    `json:"after,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// replica is a model server of the users' platform. It has slots and a short queue, and refuses beyond
// them.
type replica struct {
	id, version string
	slots       int
	queue       int
	events      int
	eventBytes  int
	// eventTime is the time between two events. If longestEventTime is larger, it differs between
	// requests and is at most that.
	eventTime, longestEventTime time.Duration
	runTime                     time.Duration
	unframed                    bool
	// extraShare bounds the share of answers that come a second time, in place of the next answer on
	// their connection.
	extraShare float64
	// extraFor is how long that lasts.
	extraFor time.Duration

	mu      sync.Mutex
	changed *sync.Cond
	running int
	waiting int
	holds   map[string]bool
	holdSeq int
	answers int
	extras  int
	// extraUntil is when the disruption ends.
	extraUntil time.Time

	outMu sync.Mutex
}

func runReplica(arguments []string) int {
	r := &replica{holds: map[string]bool{}}
	r.changed = sync.NewCond(&r.mu)
	var ip string
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "id of the replica")
	flags.StringVar(&ip, "ip", "127.0.0.1", "loopback address to listen on")
	flags.StringVar(&r.version, "version", "", "software version")
	flags.IntVar(&r.slots, "slots", 4, "requests at a time")
	flags.IntVar(&r.queue, "queue", 8, "requests that wait")
	flags.IntVar(&r.events, "events", 10, "events of a stream")
	flags.IntVar(&r.eventBytes, "event-bytes", 65, "bytes of the data of an event")
	flags.DurationVar(&r.eventTime, "event-time", 20*time.Millisecond, "time between events")
	flags.DurationVar(&r.longestEventTime, "longest-event-time", 0, "longest time between events, which differs between requests")
	flags.DurationVar(&r.runTime, "run-time", 100*time.Millisecond, "time of a request that is no stream")
	flags.BoolVar(&r.unframed, "unframed", false, "streams have neither a length nor chunks")
	flags.Float64Var(&r.extraShare, "extra-share", 0, "share of answers that come twice")
	flags.DurationVar(&r.extraFor, "extra-for", 0, "time for which they do, from SIGUSR1 on")
	if flags.Parse(arguments) != nil {
		return exitNotRun
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go r.awaitDisruption()
	r.report(report{Kind: "listens", Address: listener.Addr().String()})
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitNotRun
		}
		go r.serve(conn)
	}
}

// report writes a line at once, so that none is lost when the process is killed.
func (r *replica) report(line report) {
	encoded, _ := json.Marshal(line)
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = os.Stdout.Write(append(encoded, '\n'))
}

// serve answers the requests of one connection, one after the other.
func (r *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	input := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil && !r.mayComeAgain(late, request.Header.Get("Request-Id")) {
			late = nil
		}
		if late != nil {
			r.report(report{Kind: "extra", Request: request.Header.Get("Request-Id"), Detail: "an earlier answer comes again in place of the answer to this request"})
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, again := r.answer(conn, request, body)
		if !again {
			return
		}
		late = r.extraOf(answer)
	}
}

// awaitDisruption begins, at each SIGUSR1, a time in which answers come again.
func (r *replica) awaitDisruption() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		r.mu.Lock()
		r.extraUntil = time.Now().Add(r.extraFor)
		r.answers, r.extras = 0, 0
		r.mu.Unlock()
		r.report(report{Kind: "disrupted", Detail: "for " + r.extraFor.String()})
	}
}

// extraOf returns the answer if it comes a second time, else nil. Refusals do, as many as the share of
// all answers in the disruption allows.
func (r *replica) extraOf(answer []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if !bytes.Contains(answer, []byte("Not-Executed")) || float64(r.extras+1) > r.extraShare*float64(r.answers) || !r.isDisrupted() {
		return nil
	}
	r.extras++
	return answer
}

// mayComeAgain reports whether a late answer may come in place of the answer to a request: the disruption
// goes on, and the id can show which answer it is.
func (r *replica) mayComeAgain(late []byte, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDisrupted() && !bytes.Contains(late, []byte("Request-Id: "+request+"\r\n"))
}

// isDisrupted reports whether answers may come again now. The caller holds mu.
func (r *replica) isDisrupted() bool { return time.Now().Before(r.extraUntil) }

// answer answers one request. It returns the answer if it was a short one, and whether the connection
// goes on.
func (r *replica) answer(conn net.Conn, request *http.Request, body []byte) (sent []byte, again bool) {
	id := request.Header.Get("Request-Id")
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/health":
		return r.write(conn, 200, fmt.Sprintf("Instance-Id: %s\r\n", r.id), "")
	case request.URL.Path == "/v1/hold-take":
		return r.reserve(conn, body)
	case request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != r.id:
		return r.write(conn, 421, fmt.Sprintf("Request-Id: %s\r\n", id), "")
	}
	if !r.acquire(request.Header.Get("Hold")) {
		r.report(report{Kind: "refused", Request: id})
		return r.write(conn, 503, fmt.Sprintf("Request-Id: %s\r\nNot-Executed: 1\r\n%s", id, r.load()), "")
	}
	defer r.release()
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.report(report{Kind: "run", Request: id, After: after})
	if strings.HasPrefix(request.URL.Path, "/once/") {
		time.Sleep(r.runTime)
		return r.write(conn, 200, fmt.Sprintf("Request-Id: %s\r\nResponse-Signature: signed-by-%s\r\n%s", id, r.id, r.load()), "done "+id)
	}
	return nil, r.stream(conn, id, after)
}

// write writes a short answer.
func (r *replica) write(conn net.Conn, status int, header, body string) ([]byte, bool) {
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	_, err := conn.Write(answer)
	return answer, err == nil
}

// stream writes the events after event number after. It reports whether the connection goes on.
func (r *replica) stream(conn net.Conn, id string, after int) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if r.unframed {
		framing = "Connection: close\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: signed-by-%s\r\n%s%s\r\n", id, r.id, r.load(), framing)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	pause := r.pauseOf(id)
	for number := after + 1; number <= r.events; number++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(id, number, r.version, r.eventBytes))
		if !r.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			r.report(report{Kind: "cut", Request: id, After: number - 1})
			return false
		}
	}
	r.report(report{Kind: "whole", Request: id, After: r.events})
	if r.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// pauseOf returns the time between two events of a request.
func (r *replica) pauseOf(id string) time.Duration {
	if r.longestEventTime <= r.eventTime {
		return r.eventTime
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	const steps = 1000
	return r.eventTime + (r.longestEventTime-r.eventTime)*time.Duration(hash.Sum32()%steps)/steps
}

// eventData is the data of an event, which depends on the software version.
func eventData(id string, number int, version string, size int) string {
	data := fmt.Sprintf("%s/%d/%s/", id, number, version)
	return data + strings.Repeat("x", max(0, size-len(data)))
}

// wholeText is the text of an item that one software version wrote.
func wholeText(id string, events int, version string, size int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(id, i+1, version, size)
	}
	return strings.Join(lines, "\n")
}

// acquire takes a slot, waiting in the queue if it has room. A hold has its slot already.
func (r *replica) acquire(hold string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hold != "" {
		held := r.holds[hold]
		delete(r.holds, hold)
		return held
	}
	if r.running >= r.slots && r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		r.changed.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.changed.Signal()
}

// reserve puts a slot aside for a moment.
func (r *replica) reserve(conn net.Conn, body []byte) ([]byte, bool) {
	var asked struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	_ = json.Unmarshal(body, &asked)
	r.mu.Lock()
	full := r.running >= r.slots || r.waiting > 0
	var name string
	if !full {
		r.holdSeq++
		name = fmt.Sprintf("h%d", r.holdSeq)
		r.holds[name] = true
		r.running++
	}
	r.mu.Unlock()
	if full {
		return r.write(conn, 503, "", "")
	}
	time.AfterFunc(time.Duration(asked.TTLMs)*time.Millisecond, func() {
		r.mu.Lock()
		unused := r.holds[name]
		delete(r.holds, name)
		r.mu.Unlock()
		if unused {
			r.release()
		}
	})
	return r.write(conn, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"hold":%q}`, name))
}

// load is the header that tells the load.
func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", r.running, r.waiting, r.slots)
}
