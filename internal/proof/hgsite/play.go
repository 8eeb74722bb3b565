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

// PlayReport holds the outcomes that the callers of Play saw.
type PlayReport struct {
	// Programs is the number of programs run; Done of them completed all turns, and Stopped exhausted their budgets.
	Programs, Done, Stopped int
	Turns, Refusals         int
	// turns holds the latencies of completed turns in milliseconds.
	turns *hdrhistogram.Histogram
}

// String returns a one-line summary that commands and tests print.
func (p PlayReport) String() string {
	return fmt.Sprintf("%d programs: %d done, %d stopped by their budget, %d failed; %d turns, %d refusals; a turn %d ms at the median, %d ms for 95 in 100",
		p.Programs, p.Done, p.Stopped, p.Programs-p.Done-p.Stopped, p.Turns, p.Refusals, p.turns.ValueAtPercentile(50), p.turns.ValueAtPercentile(95))
}

const (
	// playTurns is the number of turns of a program. Every tenth program has a budget for the maximum output of
	// tightBudgetTurns turns. A turn uses half of its maximum, and a budget may be exceeded by the maximum of one turn, so
	// such a program is stopped after eight turns at most.
	playTurns        = 10
	tightBudgetTurns = 3
	// maxTurnTries is the number of times that a turn is sent until it is answered.
	maxTurnTries = 8
	// maxTurnMs is the highest latency, in milliseconds, that the histogram records.
	maxTurnMs = 60_000
)

// Play runs programs concurrently and reports their outcomes. Each program sends retained turns, with a tool call after each
// turn, and picks an entry VM at random for every request.
func (s *Site) Play(ctx context.Context, programs int, seed uint64) PlayReport {
	p := PlayReport{Programs: programs, turns: hdrhistogram.New(1, maxTurnMs, 2)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
			result := s.playOne(ctx, r, i)
			mu.Lock()
			defer mu.Unlock()
			p.Done += result.Done
			p.Stopped += result.Stopped
			p.Turns += result.Turns
			p.Refusals += result.Refusals
			p.turns.Merge(result.turns)
		})
	}
	wg.Wait()
	return p
}

func (s *Site) playOne(ctx context.Context, r *rand.Rand, i int) (p PlayReport) {
	p.turns = hdrhistogram.New(1, maxTurnMs, 2)
	program, previous := fmt.Sprintf("play-%d", i), ""
	for t := range playTurns {
		q := Turn(ThreadPath, program, previous, fmt.Sprintf("input %d of %s ", t, program))
		if i%10 == 9 {
			q.Budget = tightBudgetTurns * q.MaxTokensOut
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

// playTurn sends a turn until it is answered completely, its budget is exhausted or maxTurnTries is reached. It returns the
// identifier and status of the answered attempt, or status 0 if none was answered.
func (s *Site) playTurn(ctx context.Context, r *rand.Rand, q Request, p *PlayReport) (id string, status int) {
	for range maxTurnTries {
		q.ID = NewAttempt()
		reply, err := s.Call(ctx, s.anyNode(r), q)
		switch {
		case err == nil && reply.Status == http.StatusOK && reply.Complete:
			p.Turns++
			_ = p.turns.RecordValue(max(reply.Took.Milliseconds(), 1)) // the histogram drops latencies above maxTurnMs
			return q.ID, reply.Status
		case err == nil && reply.Status == http.StatusPaymentRequired:
			return q.ID, reply.Status
		}
		p.Refusals++
		time.Sleep(100*time.Millisecond + time.Duration(r.Int64N(int64(300*time.Millisecond))))
	}
	return "", 0
}

// anyNode returns the index of a random entry VM.
func (s *Site) anyNode(r *rand.Rand) int { return r.IntN(len(s.Nodes)) }
