package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/httphead"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/relay"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// pathFeed is the HTTP path under which relays serve changes.
	pathFeed = "/v1/feed"
	// maxRelayCalls bounds the calls of followers that a node answers at the same time.
	maxRelayCalls = 256
	// relayJobPoll and followerJobPoll are the times between two calls for changes of jobs of a relay
	// at the store and of a follower at its relay, and also bound the wait of one call. Together they keep
	// a view of the jobs young enough to answer callers from it.
	relayJobPoll    = 300 * time.Millisecond
	followerJobPoll = 400 * time.Millisecond
	// feedGroups is the number of groups, and so of calls that a follower has under way.
	feedGroups = 3
)

// processStart is the origin of the stamps of answers.
var processStart = clock.Now()

// feedGroup names a group of rows that relays pass on.
type feedGroup string

// Groups of rows that relays pass on.
const (
	configGroup  feedGroup = "config"
	replicaGroup feedGroup = "replicas"
	jobGroup     feedGroup = "jobs"
)

// relays passes the changes of all groups on, or follows other nodes that do. Without a roster, and if
// it is nil, there are no relays.
type relays struct {
	roster *lease.Roster
	// from is the number of nodes above which nodes follow relays.
	from    int
	metrics *coreMetrics
	client  *http.Client
	logs    map[feedGroup]*relay.Log
	feeds   map[feedGroup]*relay.Feed
	// calls counts the calls being answered.
	calls atomic.Int64

	mu         sync.Mutex
	known      bool
	generation uint64
	role       relay.Role
	// all are the relays of all zones; none if nodes follow the store.
	all []string
	// following are the other nodes of the zone that follow this one before other relays.
	following []string
}

func newRelays(from int, metrics *coreMetrics) *relays {
	return &relays{
		from: from, metrics: metrics, logs: map[feedGroup]*relay.Log{}, feeds: map[feedGroup]*relay.Feed{},
		client: &http.Client{Transport: httphead.Transport{
			Transport: &http.Transport{MaxIdleConnsPerHost: feedGroups, MaxResponseHeaderBytes: maxPeerHeader},
		}},
	}
}

// feed returns the feed of a group that follows relays where there are any, given that of the store.
func (r *relays) feed(group feedGroup, store table.Feed) *relay.Feed {
	feed := &relay.Feed{Feed: &table.HedgedFeed{Feed: store}, Role: r.currentRole}
	feed.Ask = func(ctx context.Context, address string, revision uint64, wait time.Duration) (relay.Answer, error) {
		return r.ask(ctx, group, address, revision, wait)
	}
	feed.OnFailed = func(string, error) { r.metrics.relayFailures.WithLabelValues(string(group)).Inc() }
	if group == jobGroup {
		feed.StoreWait, feed.RelayWait = relayJobPoll, followerJobPoll
	}
	r.feeds[group], r.logs[group] = feed, &relay.Log{}
	return feed
}

// logged returns a function that applies changes of a group and then passes them on.
func (r *relays) logged(group feedGroup, apply func(table.Changes, bool)) func(table.Changes, bool) {
	log := r.logs[group]
	return func(changes table.Changes, whole bool) {
		apply(changes, whole)
		log.Append(changes)
	}
}

// currentRole returns this node's role, which changes with the nodes.
func (r *relays) currentRole() relay.Role {
	if r == nil || r.roster == nil {
		return relay.Role{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.role
}

// nodes returns the relays of all zones; none if nodes follow the store. The caller must not modify the
// slice.
func (r *relays) nodes() []string {
	if r == nil || r.roster == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.all
}

// followers returns the nodes that follow this one before other relays. The caller must not modify the
// slice.
func (r *relays) followers() []string {
	if r == nil || r.roster == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.following
}

// refresh chooses relays again if the nodes have changed. The caller holds mu.
func (r *relays) refresh() {
	generation := r.roster.Generation()
	if r.known && r.generation == generation {
		return
	}
	r.known, r.generation, r.role, r.all, r.following = true, generation, relay.Role{}, nil, nil
	nodes := r.roster.Places()
	if len(nodes) <= r.from {
		return
	}
	zones := map[place.Place][]relay.Candidate{}
	for _, node := range nodes {
		member := r.roster.Member(node.ID)
		zones[node.Place] = append(zones[node.Place], relay.Candidate{Node: node.ID, Address: member.Address, Cores: member.Cores, LinkMbps: member.LinkMbps})
	}
	self := r.roster.Self()
	own := r.roster.Member(self)
	for at, zone := range zones {
		chosen := relay.Relays(zone)
		if at == (place.Place{Zone: own.Zone, Region: own.Region}) {
			r.role, r.following = relay.Choose(self, chosen), relay.Followers(self, zone, chosen)
		}
		for _, candidate := range chosen {
			r.all = append(r.all, candidate.Node)
		}
	}
}

// serve answers a follower.
func (r *relays) serve(w http.ResponseWriter, request *http.Request) {
	defer r.calls.Add(-1)
	query := request.URL.Query()
	group := feedGroup(query.Get("group"))
	since, sinceErr := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	feed := r.feeds[group]
	switch {
	case r.calls.Add(1) > maxRelayCalls:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case sinceErr != nil || waitErr != nil || feed == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case !feed.FromStore():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	changes, err := r.logs[group].After(request.Context(), since, wait)
	if err != nil {
		w.WriteHeader(relayStatus(err))
		return
	}
	body, err := relay.Encode(relay.Answer{Changes: changes, Stamp: clock.Since(processStart), Age: clock.Since(changes.AsOf)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An error means that the follower is gone.
	_, _ = w.Write(body)
}

// relayStatus returns the status that tells a follower why a relay has no answer.
func relayStatus(err error) int {
	if errors.Is(err, relay.ErrBehind) {
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}

// ask asks a relay for the changes of a group after a revision.
func (r *relays) ask(ctx context.Context, group feedGroup, address string, revision uint64, wait time.Duration) (relay.Answer, error) {
	query := url.Values{"group": {string(group)}, "since": {strconv.FormatUint(revision, 10)}, "wait": {wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathFeed+"?"+query.Encode(), nil)
	if err != nil {
		return relay.Answer{}, Error.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return relay.Answer{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return relay.Answer{}, Error.Wrap(relay.ErrBehind)
	default:
		return relay.Answer{}, Error.Wrap(fmt.Errorf("%w: %s", errNoState, response.Status))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBootstrapBytes))
	if err != nil {
		return relay.Answer{}, Error.Wrap(err)
	}
	answer, err := relay.Decode(body)
	return answer, Error.Wrap(err)
}

// jobPace returns the minimum time between two calls for changes of jobs.
func (g *Gateway) jobPace() table.Pace {
	role := g.relays.currentRole()
	switch {
	case role.Relay:
		return table.Pace{AfterAnnouncement: jobPollInterval, Default: relayJobPoll}
	case len(role.Follows) > 0:
		return table.Pace{AfterAnnouncement: jobPollInterval, Default: followerJobPoll}
	default:
		return g.core.jobPace()
	}
}
