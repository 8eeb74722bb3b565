package hgpace

import (
	"cmp"
	"slices"
	"time"
)

// Overdue is the statement of a node that a replica leaves its requests unanswered.
type Overdue struct {
	// VM is the name of the node.
	VM string
	// ID and Born are the incarnation of the replica.
	ID, Born string
	// Requests is the number of overdue requests.
	Requests int
	// First and Silence are how long the replica has been silent towards the first and the last overdue request, and Age is how old
	// the statement is.
	First, Silence, Age time.Duration
}

// Answer is the statement that a replica which is overdue at some node has answered another.
type Answer struct {
	ID, Born string
	// Ago is the time since the answer.
	Ago time.Duration
}

// News is what nodes exchange about overdue replicas. It holds durations, as the nodes' clocks differ.
type News struct {
	Overdue []Overdue
	Answers []Answer
	// Credits are the parts of the limits of replicas.
	Credits []Credit
}

const (
	// newsTTL is how long the statement of a node holds unless it is repeated, as it is with each heartbeat. Three periods are the
	// silence from which a node is not live; the longest period at 40 nodes of a failure domain is 430 ms.
	newsTTL = 1500 * time.Millisecond
	// answerTTL is how long the statement of an answer is passed on; a silence that began before it has long led to a verdict.
	answerTTL = 10 * time.Second
	// maxReporters is the number of nodes that are passed on for each replica. Two decide, and one of them may be the receiver.
	maxReporters = 3
)

// After returns the news as it reads after d, without what is too old then.
func (n News) After(d time.Duration) (later News) {
	for _, o := range n.Overdue {
		o.First, o.Silence, o.Age = o.First+d, o.Silence+d, o.Age+d
		if o.Age < newsTTL {
			later.Overdue = append(later.Overdue, o)
		}
	}
	for _, a := range n.Answers {
		if a.Ago += d; a.Ago < answerTTL {
			later.Answers = append(later.Answers, a)
		}
	}
	for _, c := range n.Credits {
		if c.Age += d; c.Age < newsTTL {
			later.Credits = append(later.Credits, c)
		}
	}
	return later
}

// From returns only the statements about overdue replicas and limits that pass keep, by the name of the node, and all answers.
func (n News) From(keep func(vm string) bool) News {
	n.Overdue = slices.DeleteFunc(slices.Clone(n.Overdue), func(o Overdue) bool { return !keep(o.VM) })
	n.Credits = slices.DeleteFunc(slices.Clone(n.Credits), func(c Credit) bool { return !keep(c.VM) })
	return n
}

// Merge merges news. It keeps the latest statement of each node about each replica, of maxReporters nodes for each replica those
// with the most requests, and the latest answer of each replica.
func Merge(all ...News) (merged News) {
	type key struct{ vm, id, born string }
	latest := map[key]Overdue{}
	answers := map[key]Answer{}
	var credits []Credit
	for _, n := range all {
		credits = append(credits, n.Credits...)
		for _, o := range n.Overdue {
			k := key{o.VM, o.ID, o.Born}
			if have, ok := latest[k]; !ok || o.Age < have.Age {
				latest[k] = o
			}
		}
		for _, a := range n.Answers {
			k := key{"", a.ID, a.Born}
			if have, ok := answers[k]; !ok || a.Ago < have.Ago {
				answers[k] = a
			}
		}
	}
	for _, o := range latest {
		merged.Overdue = append(merged.Overdue, o)
	}
	slices.SortFunc(merged.Overdue, func(a, b Overdue) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.VM, b.VM))
	})
	reporters := map[key]int{}
	merged.Overdue = slices.DeleteFunc(merged.Overdue, func(o Overdue) bool {
		k := key{"", o.ID, o.Born}
		reporters[k]++
		return reporters[k] > maxReporters
	})
	for _, a := range answers {
		merged.Answers = append(merged.Answers, a)
	}
	merged.Credits = mergeCredits(credits)
	slices.SortFunc(merged.Answers, func(a, b Answer) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return merged
}
