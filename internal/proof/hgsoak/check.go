package hgsoak

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// checker records what callers were told and compares it with what replicas ran.
type checker struct {
	mu         sync.Mutex
	violations []string
	// atMostOnce holds the attempts that may run once at most, and notRun those whose callers were told that they had not run.
	atMostOnce, notRun map[string]bool
	// prompts holds, by attempt, the prompt with which a retained turn must reach a replica.
	prompts map[string]string
	// delivered counts the tokens that each program's callers received; allowed is its budget and the maximum of one turn.
	delivered, allowed map[string]int
	// spent is the most of each program's budget that its turns may have used.
	spent  map[string]int
	counts map[string]int
	// routes holds the entry VM that each attempt went through, and leavingAt the time of the attempt's answer if it announced
	// that the replica is leaving.
	routes    map[string]route
	leavingAt map[string]time.Time
	// exchanges are those of the phase of planned work, and crossed describes those that crossed the close of their connection.
	exchanges []exchange
	crossed   []string
	// exits describes the processes that exited by themselves.
	exits []string
	// kept holds the last turn of each program that was answered completely.
	kept map[string]keptTurn
}

func newChecker() *checker {
	return &checker{
		atMostOnce: map[string]bool{}, notRun: map[string]bool{}, prompts: map[string]string{}, delivered: map[string]int{},
		allowed: map[string]int{}, counts: map[string]int{}, routes: map[string]route{}, leavingAt: map[string]time.Time{}, kept: map[string]keptTurn{}, spent: map[string]int{},
	}
}

// violate adds a violation; c.mu is held.
func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// violateNow adds a violation.
func (c *checker) violateNow(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(format, args...)
}

// count adds to a count of the report.
func (c *checker) count(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}

// notRunStatuses are the HTTP statuses that promise that the attempt was not run.
var notRunStatuses = map[int]bool{402: true, 404: true, 408: true, 421: true, 429: true, 503: true}

// recordAnswer records a caller's answer and checks its content; err is set if the connection broke without an answer.
func (c *checker) recordAnswer(q hgsite.Request, repeatable bool, reply hgsite.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !repeatable {
		c.atMostOnce[q.ID] = true
	}
	switch {
	case err == nil && notRunStatuses[reply.Status]:
	case err == nil && reply.Complete && reply.Status == http.StatusOK:
		c.spent[q.Program] += len(reply.Events) * hgsite.TokensPerEvent
	default:
		c.spent[q.Program] += q.MaxTokensOut
	}
	if err != nil {
		c.counts["no answer"]++
		return
	}
	c.counts[fmt.Sprint(reply.Status)]++
	if notRunStatuses[reply.Status] {
		c.notRun[q.ID] = true
	}
	c.delivered[q.Program] += len(reply.Events) * hgsite.TokensPerEvent
	c.allowed[q.Program] = q.Budget + q.MaxTokensOut
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

// expectPrompt records the prompt with which a retained turn must reach a replica.
func (c *checker) expectPrompt(attempt, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prompts[attempt] = text
}

// turnDenied records a violation: a turn that was answered completely is said not to exist.
func (c *checker) turnDenied(attempt, previous string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate("attempt %s: turn %s is denied", attempt, previous)
}

// UnexpectedExits is the key in Report.Counts for the number of processes that exited without being stopped by the soak.
const UnexpectedExits = "own ends"

// startupTime is the time within which a process reaches its main function. A signal before that ends the process, which is no
// violation.
const startupTime = 100 * time.Millisecond

// unexpectedExit records a process that exited by itself or failed while it stopped; it is a violation unless a SIGHUP ended it
// within startupTime.
func (c *checker) unexpectedExit(vm string, ran time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[UnexpectedExits]++
	end := fmt.Sprintf("%s ended by itself after %v: %v", vm, ran, err)
	c.exits = append(c.exits, end)
	if ran > startupTime || !endedBy(err, syscall.SIGHUP) {
		c.violate("%s", end)
	}
}

// endedBy reports whether a signal ended a process, given the error of waiting for it.
func endedBy(err error, s syscall.Signal) bool {
	exit := &exec.ExitError{}
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// finish compares the records with what replicas ran and returns all violations.
func (c *checker) finish(runs []hgsite.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := map[string]int{}
	for _, r := range runs {
		times[r.Attempt]++
		if c.notRun[r.Attempt] {
			c.violate("attempt %s was told not to have run and ran at %s", r.Attempt, r.Replica)
		}
		if want, ok := c.prompts[r.Attempt]; ok && want != r.Body {
			c.violate("attempt %s reached %s with %q instead of %q", r.Attempt, r.Replica, r.Body, want)
		}
		if len(r.Forged) > 0 {
			c.violate("attempt %s reached %s with %q", r.Attempt, r.Replica, r.Forged)
		}
	}
	for attempt, n := range times {
		if n > 1 && c.atMostOnce[attempt] {
			c.violate("attempt %s ran %d times", attempt, n)
		}
	}
	c.checkLeaving(runs)
	for program, n := range c.delivered {
		if program != "" && n > c.allowed[program] {
			c.violate("program %s got %d tokens, at most %d", program, n, c.allowed[program])
		}
	}
	return c.violations
}
