package hgpeer

// maxBegun bounds the programs that are kept for peers; on the largest site they last for some tens of seconds.
const maxBegun = 8192

// begunLog numbers the programs that nodes have begun to serve, by digest, in the order in which this node heard of them.
type begunLog struct {
	last uint64
	// programs are the newest ones, up to the number last, and heard holds them all.
	programs []uint64
	heard    map[uint64]bool
	// unused are those of others that this node has not used itself yet, and untold its own since its last heartbeat.
	unused, untold []uint64
}

func newBegunLog() begunLog { return begunLog{heard: map[uint64]bool{}} }

// add takes a program and says whether it is a new one.
func (l *begunLog) add(program uint64) bool {
	if l.heard[program] {
		return false
	}
	l.heard[program] = true
	l.last++
	l.programs = append(l.programs, program)
	if len(l.programs) > 2*maxBegun {
		l.drop(len(l.programs) - maxBegun)
	}
	return true
}

// addHeard takes programs of a peer.
func (l *begunLog) addHeard(programs []uint64) {
	for _, p := range programs {
		if l.add(p) {
			l.unused = append(l.unused, p)
		}
	}
}

// drop forgets the oldest programs.
func (l *begunLog) drop(n int) {
	for _, p := range l.programs[:n] {
		delete(l.heard, p)
	}
	l.programs = append([]uint64(nil), l.programs[n:]...)
}

// since returns the programs after a number.
func (l *begunLog) since(number uint64) []uint64 {
	first := l.last - uint64(len(l.programs))
	return append([]uint64(nil), l.programs[max(number, first)-first:]...)
}

// TellPrograms has the next heartbeat tell of programs that this node has begun to serve.
func (m *Members) TellPrograms(digests []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, digest := range digests {
		if m.begun.add(digest) {
			m.begun.untold = append(m.begun.untold, digest)
		}
	}
}

// TakeUntold returns the programs of this node for its next heartbeat.
func (m *Members) TakeUntold() (programs []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	programs, m.begun.untold = m.begun.untold, nil
	return programs
}

// TakeUnused returns the programs of others that this node has not used yet.
func (m *Members) TakeUnused() (programs []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	programs, m.begun.unused = m.begun.unused, nil
	return programs
}
