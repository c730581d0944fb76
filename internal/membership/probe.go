package membership

import (
	"slices"
	"time"
)

// Tick advances the protocol to now and returns the packets to send. Call it
// several times a probe period.
func (s *State) Tick(now time.Time) []Packet {
	paused := !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.config.PauseThreshold
	s.lastTick = now
	if paused {
		s.afterPause(now)
	}
	var packets []Packet
	packets = s.checkProbes(now, packets)
	s.expireSuspects(now)
	s.expireRelays(now)
	if now.Before(s.nextProbe) {
		return packets
	}
	s.nextProbe = now.Add(s.config.ProbePeriod)
	s.periods++
	packets = s.probeNext(now, packets)
	packets = s.probeRemote(now, packets)
	packets = s.reconnect(now, packets)
	s.judgeZones(now)
	return packets
}

// afterPause forgets open probes and gives all suspects their time anew: this
// node was not there to hear the answers.
func (s *State) afterPause(now time.Time) {
	s.probes = nil
	for id := range s.suspected {
		s.suspected[id] = now
	}
	for zone := range s.zoneHeard {
		s.zoneHeard[zone] = now
	}
}

// probeNext probes the next member of the group in a shuffled round, so that
// each is probed once a round.
func (s *State) probeNext(now time.Time, packets []Packet) []Packet {
	for range len(s.order) {
		if s.position >= len(s.order) {
			s.shuffle()
		}
		id := s.order[s.position]
		s.position++
		member, ok := s.members[id]
		if !ok || !member.Live() || !s.judged(member) {
			continue
		}
		return append(packets, s.startProbe(now, *member, true))
	}
	return packets
}

func (s *State) shuffle() {
	s.position = 0
	s.order = s.order[:0]
	for id := range s.members {
		s.order = append(s.order, id)
	}
	slices.Sort(s.order)
	s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// probeRemote lets a delegate exchange news with a delegate of another zone.
func (s *State) probeRemote(now time.Time, packets []Packet) []Packet {
	zones := s.remoteZones()
	if len(zones) == 0 || !s.IsDelegate() {
		return packets
	}
	zone := zones[s.periods%uint64(len(zones))]
	delegates := s.Delegates(zone)
	if len(delegates) == 0 {
		return packets
	}
	id := delegates[s.random.IntN(len(delegates))]
	return append(packets, s.startProbe(now, *s.members[id], false))
}

// reconnect probes a dead member from time to time, so that the two sides of
// a healed split find each other.
func (s *State) reconnect(now time.Time, packets []Packet) []Packet {
	if s.periods%reconnectEvery != 0 {
		return packets
	}
	var dead []string
	for id, member := range s.members {
		if member.Status == Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return packets
	}
	slices.Sort(dead)
	return append(packets, s.startProbe(now, *s.members[dead[s.random.IntN(len(dead))]], false))
}

func (s *State) startProbe(now time.Time, target Member, judges bool) Packet {
	s.sequence++
	s.probes = append(s.probes, &probe{target: target.ID, sequence: s.sequence, sent: now, judges: judges})
	return s.packet(target, Message{Type: Ping, Sequence: s.sequence})
}

func (s *State) packet(target Member, message Message) Packet {
	message.From = s.self.ID
	message.Applied = s.applied
	message.Updates = s.updates(target.ID)
	if s.IsDelegate() {
		message.CutZones = s.cutZones
	}
	return Packet{Address: target.Address, Message: message}
}

// checkProbes asks others for help with late answers and suspects members
// that did not answer within the period.
func (s *State) checkProbes(now time.Time, packets []Packet) []Packet {
	kept := s.probes[:0]
	for _, open := range s.probes {
		age := now.Sub(open.sent)
		switch {
		case open.acked:
			continue
		case age >= s.config.ProbePeriod+s.config.ProbeTimeout:
			if open.judges {
				s.suspect(now, open.target)
			}
			continue
		case age >= s.config.ProbeTimeout && !open.indirect && open.judges:
			open.indirect = true
			packets = s.askOthers(open, packets)
		}
		kept = append(kept, open)
	}
	s.probes = kept
	return packets
}

func (s *State) askOthers(open *probe, packets []Packet) []Packet {
	var helpers []string
	for id, member := range s.members {
		if id != open.target && member.Status == Alive && s.judged(member) {
			helpers = append(helpers, id)
		}
	}
	slices.Sort(helpers)
	s.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, id := range helpers[:min(len(helpers), s.config.IndirectProbes)] {
		message := Message{Type: PingRequest, Sequence: open.sequence, Target: open.target}
		packets = append(packets, s.packet(*s.members[id], message))
	}
	return packets
}

func (s *State) suspect(now time.Time, id string) {
	member, ok := s.members[id]
	if !ok || member.Status == Suspect || !member.Live() {
		return
	}
	s.counters.Suspicions++
	update := *member
	update.Status = Suspect
	s.merge(now, update)
}

func (s *State) expireSuspects(now time.Time) {
	for id, since := range s.suspected {
		if now.Sub(since) < s.config.SuspicionTime {
			continue
		}
		s.counters.Deaths++
		update := *s.members[id]
		update.Status = Dead
		s.merge(now, update)
	}
}

func (s *State) expireRelays(now time.Time) {
	for sequence, pending := range s.relays {
		if now.After(pending.expires) {
			delete(s.relays, sequence)
		}
	}
}

// judgeZones decides which zones count as cut off. Only delegates hear other
// zones; the rest take the view of their delegates.
func (s *State) judgeZones(now time.Time) {
	if !s.IsDelegate() {
		return
	}
	var cut []string
	for _, zone := range s.remoteZones() {
		heard, ok := s.zoneHeard[zone]
		if !ok {
			s.zoneHeard[zone] = now
			continue
		}
		if now.Sub(heard) > s.config.ZoneCutTime {
			cut = append(cut, zone)
		}
	}
	s.cutZones = cut
}

// Handle takes in a message and returns the packets it gives rise to.
func (s *State) Handle(now time.Time, from string, message Message) []Packet {
	s.Merge(now, message.Updates)
	sender, known := s.members[message.From]
	if known {
		s.zoneHeard[sender.Zone] = now
		s.adoptZoneView(sender, message)
	}
	switch message.Type {
	case Ping:
		return s.answerPing(from, message)
	case PingRequest:
		return s.probeFor(now, message)
	case Ack:
		return s.takeAck(now, message)
	}
	return nil
}

func (s *State) adoptZoneView(sender *Member, message Message) {
	if s.IsDelegate() || sender.Zone != s.self.Zone {
		return
	}
	if slices.Contains(s.Delegates(s.self.Zone), sender.ID) {
		s.cutZones = message.CutZones
	}
}

// answerPing answers to the address the ping came from, since the sender may
// not be known here yet.
func (s *State) answerPing(from string, message Message) []Packet {
	target := Member{ID: message.From, Address: from}
	return []Packet{s.packet(target, Message{Type: Ack, Sequence: message.Sequence, Target: s.self.ID})}
}

func (s *State) probeFor(now time.Time, message Message) []Packet {
	target, ok := s.members[message.Target]
	if !ok {
		return nil
	}
	s.sequence++
	s.relays[s.sequence] = relay{
		requester: message.From, sequence: message.Sequence, target: message.Target,
		expires: now.Add(s.config.ProbePeriod),
	}
	return []Packet{s.packet(*target, Message{Type: Ping, Sequence: s.sequence})}
}

func (s *State) takeAck(now time.Time, message Message) []Packet {
	if pending, ok := s.relays[message.Sequence]; ok && pending.target == message.From {
		delete(s.relays, message.Sequence)
		requester, known := s.members[pending.requester]
		if !known {
			return nil
		}
		answer := Message{Type: Ack, Sequence: pending.sequence, Target: pending.target}
		return []Packet{s.packet(*requester, answer)}
	}
	for _, open := range s.probes {
		if open.sequence != message.Sequence || open.target != message.Target {
			continue
		}
		open.acked = true
		s.acked(now, open, message)
	}
	return nil
}

// acked clears a local suspicion only through the member's own refutation, but
// a direct answer proves contact.
func (s *State) acked(_ time.Time, open *probe, message Message) {
	member, known := s.members[open.target]
	if !known || message.From != open.target {
		return
	}
	s.confirmed(Confirmation{Peer: *member, Sent: open.sent, Applied: message.Applied})
}
