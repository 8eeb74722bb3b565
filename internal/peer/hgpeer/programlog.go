package hgpeer

// maxLoggedPrograms is the least number of programs that a full log keeps for peers. At the rate of new programs on the
// largest site they cover some tens of seconds.
const maxLoggedPrograms = 8192

// programLog numbers the programs that nodes have started to serve, in the order in which this node learned of them.
// Programs are identified by digest.
type programLog struct {
	lastNumber uint64
	// programs are the latest ones in order, the last of which has the number lastNumber; known is the set of the same.
	programs []uint64
	known    map[uint64]bool
	// received are the programs of peers that TakeReceived has not returned yet, and unannounced those of this node that no
	// heartbeat has carried yet.
	received, unannounced []uint64
}

func newProgramLog() programLog { return programLog{known: map[uint64]bool{}} }

// add appends a program and reports whether it was not yet in the log.
func (l *programLog) add(program uint64) bool {
	if l.known[program] {
		return false
	}
	l.known[program] = true
	l.lastNumber++
	l.programs = append(l.programs, program)
	if len(l.programs) > 2*maxLoggedPrograms {
		l.evictOldest(len(l.programs) - maxLoggedPrograms)
	}
	return true
}

// addReceived appends the programs that a peer has announced.
func (l *programLog) addReceived(programs []uint64) {
	for _, p := range programs {
		if l.add(p) {
			l.received = append(l.received, p)
		}
	}
}

// evictOldest removes the n oldest programs.
func (l *programLog) evictOldest(n int) {
	for _, p := range l.programs[:n] {
		delete(l.known, p)
	}
	l.programs = append([]uint64(nil), l.programs[n:]...)
}

// since returns the programs with a higher number. The number comes from a peer and may be beyond the last one.
func (l *programLog) since(number uint64) []uint64 {
	first := l.lastNumber - uint64(len(l.programs))
	return append([]uint64(nil), l.programs[min(max(number, first), l.lastNumber)-first:]...)
}

// AnnouncePrograms queues programs that this node has started to serve, so that the next heartbeat announces them.
func (m *Members) AnnouncePrograms(digests []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, digest := range digests {
		if m.programLog.add(digest) {
			m.programLog.unannounced = append(m.programLog.unannounced, digest)
		}
	}
}

// TakeUnannounced returns the programs that this node has not announced yet, and clears the queue. The caller puts them into
// its next heartbeat.
func (m *Members) TakeUnannounced() (programs []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	programs, m.programLog.unannounced = m.programLog.unannounced, nil
	return programs
}

// TakeReceived returns the programs of other nodes that were received since the last call.
func (m *Members) TakeReceived() (programs []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	programs, m.programLog.received = m.programLog.received, nil
	return programs
}
