package hgcap

import (
	"math"
	"time"

	"hyssopgrade/internal/serve/hgteam"
)

// ownedTeam is what an owner knows of a team.
type ownedTeam struct {
	cap            hgteam.Cap
	tokens, starts bucket
	used           window
	// requests and programs are the smoothed counts of granted requests and programs.
	requests, programs float64
	learned, asked     time.Duration
	// size is the last mean number of requests of a program that enough programs showed; 0 before.
	size float64
	// lost says that another node has become the owner, and lostAt when. Until movedUntil this node has handed the team over.
	lost               bool
	lostAt, movedUntil time.Duration
	// warmUntil is until when the team may lack tokens because the owner began with few.
	warmUntil time.Duration
	// overUntil is when the team ceases to be over its cap; 0 if it is not.
	overUntil time.Duration
	refused   int
}

// learn counts granted requests and programs.
func (t *ownedTeam) learn(now time.Duration, requests, programs float64) {
	keep := math.Exp(-(now - t.learned).Seconds() / learnTime.Seconds())
	t.requests, t.programs, t.learned = t.requests*keep+requests, t.programs*keep+programs, now
}

// programSize returns the mean number of requests of a program; 1 before anything is known. While few programs begin, the last mean holds:
// a jump would refuse the first turns after it.
func (t *ownedTeam) programSize() float64 {
	if t.programs >= minPrograms {
		t.size = t.requests / t.programs
	}
	return min(max(t.size, 1), maxProgram)
}
