package hgsite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// Played is what the callers of a play got.
type Played struct {
	// Programs were played, of which Done ended whole and Stopped were stopped by their budget.
	Programs, Done, Stopped int
	Turns, Refusals         int
	// turns are the times of turns in milliseconds.
	turns *hdrhistogram.Histogram
}

// String returns the figures for people.
func (p Played) String() string {
	return fmt.Sprintf("%d programs: %d done, %d stopped by their budget, %d failed; %d turns, %d refusals; a turn %d ms at the median, %d ms for 95 in 100",
		p.Programs, p.Done, p.Stopped, p.Programs-p.Done-p.Stopped, p.Turns, p.Refusals, p.turns.ValueAtPercentile(50), p.turns.ValueAtPercentile(95))
}

const (
	// playTurns is the number of turns of a program, and playSpent of those that its budget holds at their most in each
	// tenth program: half of that is used, and the budget may be exceeded by one turn's most, so that eight turns are the most.
	playTurns = 10
	playSpent = 3
	// playTries is the number of times that a turn is asked for.
	playTries = 8
	// maxTurnMs bounds the times that are told apart.
	maxTurnMs = 60_000
)

// Play runs programs of kept turns with a call of a tool after each, entering at any VM that runs.
func (s *Site) Play(ctx context.Context, programs int, seed uint64) Played {
	p := Played{Programs: programs, turns: hdrhistogram.New(1, maxTurnMs, 2)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
			one := s.playOne(ctx, r, i)
			mu.Lock()
			defer mu.Unlock()
			p.Done += one.Done
			p.Stopped += one.Stopped
			p.Turns += one.Turns
			p.Refusals += one.Refusals
			p.turns.Merge(one.turns)
		})
	}
	wg.Wait()
	return p
}

func (s *Site) playOne(ctx context.Context, r *rand.Rand, i int) (p Played) {
	p.turns = hdrhistogram.New(1, maxTurnMs, 2)
	program, previous := fmt.Sprintf("play-%d", i), ""
	for t := range playTurns {
		q := Turn(ThreadPath, program, previous, fmt.Sprintf("input %d of %s ", t, program))
		if i%10 == 9 {
			q.Budget = playSpent * q.MostOut
		}
		id, status := s.playTurn(ctx, r, q, &p)
		if status != http.StatusOK {
			p.Stopped = lo.Ternary(status == http.StatusPaymentRequired, 1, 0)
			return p
		}
		previous = id
		if _, err := s.Call(ctx, s.anyNode(r), Request{Path: CheckPath, Method: http.MethodGet}); err != nil {
			return p
		}
	}
	p.Done = 1
	return p
}

// playTurn asks for a turn until it is answered whole or its budget is spent; it returns the attempt and its status, 0 if
// none was answered.
func (s *Site) playTurn(ctx context.Context, r *rand.Rand, q Request, p *Played) (id string, status int) {
	for range playTries {
		q.ID = NewAttempt()
		reply, err := s.Call(ctx, s.anyNode(r), q)
		switch {
		case err == nil && reply.Status == http.StatusOK && reply.Whole:
			p.Turns++
			_ = p.turns.RecordValue(max(reply.Took.Milliseconds(), 1)) // a longer time than the most is left out
			return q.ID, reply.Status
		case err == nil && reply.Status == http.StatusPaymentRequired:
			return q.ID, reply.Status
		}
		p.Refusals++
		time.Sleep(100*time.Millisecond + time.Duration(r.Int64N(int64(300*time.Millisecond))))
	}
	return "", 0
}

// anyNode returns a VM at random.
func (s *Site) anyNode(r *rand.Rand) int { return r.IntN(len(s.Nodes)) }
