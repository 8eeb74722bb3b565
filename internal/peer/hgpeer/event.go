package hgpeer

import "math/rand/v2"

// Event is something that nodes tell each other once.
type Event struct {
	// ID names the event among all of the site.
	ID uint64
	// Digest is that of a program that a node has begun to serve, if Program says so, else of a request under which a
	// replica broke off.
	Digest  uint64
	Program bool
}

// maxEvents bounds the events that are kept for peers; on the largest site they last for some tens of seconds.
const maxEvents = 8192

// eventLog numbers events in the order in which this node heard of them.
type eventLog struct {
	last uint64
	// events are the newest ones, up to the number last, and heard holds their identifiers.
	events []Event
	heard  map[uint64]bool
	// unused are those of others that this node has not used itself yet, and untold its own since its last heartbeat.
	unused, untold []Event
}

func newEventLog() eventLog { return eventLog{heard: map[uint64]bool{}} }

// add takes an event and says whether it is a new one.
func (l *eventLog) add(e Event) bool {
	if l.heard[e.ID] {
		return false
	}
	l.heard[e.ID] = true
	l.last++
	l.events = append(l.events, e)
	if len(l.events) > 2*maxEvents {
		l.drop(len(l.events) - maxEvents)
	}
	return true
}

// addHeard takes events of a peer.
func (l *eventLog) addHeard(events []Event) {
	for _, e := range events {
		if l.add(e) {
			l.unused = append(l.unused, e)
		}
	}
}

// drop forgets the oldest events.
func (l *eventLog) drop(n int) {
	for _, e := range l.events[:n] {
		delete(l.heard, e.ID)
	}
	l.events = append([]Event(nil), l.events[n:]...)
}

// since returns the events after a number, those about programs only for this failure domain.
func (l *eventLog) since(number uint64, programs bool) (events []Event) {
	first := l.last - uint64(len(l.events))
	for _, e := range l.events[max(number, first)-first:] {
		if programs || !e.Program {
			events = append(events, e)
		}
	}
	return events
}

// TellPrograms has the next heartbeat tell of programs that this node has begun to serve.
func (m *Members) TellPrograms(digests []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, digest := range digests {
		m.tell(Event{ID: digest, Digest: digest, Program: true})
	}
}

// TellBreak has the next heartbeat tell of a request under which a replica broke off.
func (m *Members) TellBreak(digest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tell(Event{ID: rand.Uint64(), Digest: digest})
}

func (m *Members) tell(e Event) {
	if m.events.add(e) {
		m.events.untold = append(m.events.untold, e)
	}
}

// TakeUntold returns the events of this node for its next heartbeat.
func (m *Members) TakeUntold() (events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events, m.events.untold = m.events.untold, nil
	return events
}

// TakeUnused returns the events of others that this node has not used yet.
func (m *Members) TakeUnused() (events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events, m.events.unused = m.events.unused, nil
	return events
}
