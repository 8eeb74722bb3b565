package hgsoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// checker holds what callers were told, and compares it with what replicas ran.
type checker struct {
	mu         sync.Mutex
	violations []string
	// once are the attempts that may run once at most, and never those that were told not to have run.
	once, never map[string]bool
	// want is the prompt that each attempt of a kept turn must reach a replica with.
	want map[string]string
	// handed counts the tokens of each program, and allowed is its budget and one turn's most.
	handed, allowed map[string]int
	counts          map[string]int
	// ways says through which VM each attempt went, and words which answers told that their replica leaves.
	ways  map[string]way
	words map[string]time.Time
}

func newChecker() *checker {
	return &checker{
		once: map[string]bool{}, never: map[string]bool{}, want: map[string]string{}, handed: map[string]int{},
		allowed: map[string]int{}, counts: map[string]int{}, ways: map[string]way{}, words: map[string]time.Time{},
	}
}

func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// refusals are the statuses that promise that an attempt was not run.
var refusals = map[int]bool{402: true, 404: true, 408: true, 421: true, 429: true, 503: true}

// answered takes a caller's answer; err is that of a connection without one.
func (c *checker) answered(q hgsite.Request, repeatable bool, reply hgsite.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !repeatable {
		c.once[q.ID] = true
	}
	if err != nil {
		c.counts["no answer"]++
		return
	}
	c.counts[fmt.Sprint(reply.Status)]++
	if refusals[reply.Status] {
		c.never[q.ID] = true
	}
	c.handed[q.Program] += len(reply.Events) * hgsite.TokensPerEvent
	c.allowed[q.Program] = q.Budget + q.MostOut
	for i, event := range reply.Events {
		if event != hgsite.Event(i+1) {
			c.violate("attempt %s: event %d is %q", q.ID, i+1, event)
			return
		}
	}
	if reply.Status == 200 && reply.Complete && q.HasBudget && len(reply.Events) != hgsite.Events {
		c.violate("attempt %s looks whole with %d events", q.ID, len(reply.Events))
	}
	if reply.Status == 200 && !q.HasBudget && reply.Complete && !strings.HasSuffix(reply.Body, q.ID) {
		c.violate("attempt %s got the answer %q", q.ID, reply.Body)
	}
}

// prompt notes the prompt of a kept turn.
func (c *checker) prompt(attempt, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.want[attempt] = text
}

// lost tells that a turn that was answered whole is denied.
func (c *checker) lost(attempt, previous string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate("attempt %s: turn %s is denied", attempt, previous)
}

// OwnEnds is the count of processes that ended by themselves.
const OwnEnds = "own ends"

// startTime is the time in which a process reaches its main function; until then a signal ends it.
const startTime = 100 * time.Millisecond

// ownEnd tells that a process ended by itself.
func (c *checker) ownEnd(vm string, ran time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[OwnEnds]++
	if ran > startTime {
		c.violate("%s ended by itself after %v", vm, ran)
	}
}

// finish compares with what replicas ran and returns all violations.
func (c *checker) finish(runs []hgsite.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := map[string]int{}
	for _, r := range runs {
		times[r.Attempt]++
		if c.never[r.Attempt] {
			c.violate("attempt %s was told not to have run and ran at %s", r.Attempt, r.Replica)
		}
		if want, ok := c.want[r.Attempt]; ok && want != r.Body {
			c.violate("attempt %s reached %s with %q instead of %q", r.Attempt, r.Replica, r.Body, want)
		}
		if len(r.Forged) > 0 {
			c.violate("attempt %s reached %s with %q", r.Attempt, r.Replica, r.Forged)
		}
	}
	for attempt, n := range times {
		if n > 1 && c.once[attempt] {
			c.violate("attempt %s ran %d times", attempt, n)
		}
	}
	c.checkLeaving(runs)
	for program, n := range c.handed {
		if program != "" && n > c.allowed[program] {
			c.violate("program %s got %d tokens, at most %d", program, n, c.allowed[program])
		}
	}
	return c.violations
}
