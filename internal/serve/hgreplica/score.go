package hgreplica

import "time"

const (
	// prefillPerToken is the time in which an engine reads one token of a prompt; engines read about 59 tokens in 1 ms.
	prefillPerToken = 17 * time.Microsecond
	// batchCost is what each request in flight costs a new one: a larger batch makes the step for each token longer.
	batchCost = 500 * time.Microsecond
	// failureCost is the cost of a failure that has just been seen.
	failureCost = 150 * time.Millisecond
	// failureHalfLife is the time in which the cost of a failure halves; failures in a row lengthen it.
	failureHalfLife = 2 * time.Second
	// maxStreak bounds the factor by which failures in a row, without an answer between them, multiply failureHalfLife.
	maxStreak = 4
	// errorStreak is the number of failure answers in a row from which they count as failures of the replica.
	errorStreak = 2
	// loadReportTTL is how long a replica's own report of its load is used.
	loadReportTTL = time.Second
	// delayHalfLife is the half-life of the part of a delay that exceeds the baseline, so that slow replicas are tried again.
	delayHalfLife = 3 * time.Second
	// minHold is the least time for which a request is assumed to hold a slot, also before any was observed.
	minHold = 20 * time.Millisecond
	// averageWeight is the weight of a new observation in the moving averages of delays and of the time that slots are held.
	averageWeight = 0.25
)

// view is what a pick knows of one replica.
type view struct {
	slots int
	// inFlight is the number of requests in flight from all nodes.
	inFlight int
	// missTokens is the number of prompt tokens that the replica has to read because they are neither cached nor fetched.
	missTokens int
	// fetchTokens is the number of tokens that it fetches from another replica, and fetchCost the cost of that.
	fetchTokens int
	fetchCost   time.Duration
	// delay is the average time to the first byte, and baseline the least such average among the service's replicas.
	delay, baseline time.Duration
	// hold is how long a request of the service holds a slot after its first byte.
	hold time.Duration
	// failures is the number of failures, each decayed by its age.
	failures float64
	// farCost is the cost of the replica being in another failure domain.
	farCost time.Duration
	// coldLeft is how much longer the replica is slow after its start.
	coldLeft time.Duration
	// slowness is how long work takes on the replica, as a multiple of the usual.
	slowness float64
}

// cost returns the time that a request is expected to lose on the replica.
func (v view) cost() time.Duration {
	c := v.readTime(v.missTokens) + v.fetchCost
	if v.slowness != 1 {
		c += time.Duration(float64(v.readTime(v.missTokens)+v.baseline+v.hold) * (v.slowness - 1))
	}
	c += time.Duration(v.inFlight) * batchCost
	if over := v.inFlight + 1 - v.slots; over > 0 {
		c += (v.baseline + v.hold) * time.Duration(over) / time.Duration(max(v.slots, 1))
	}
	c += max(v.delay-v.baseline, 0)
	c += time.Duration(v.failures * float64(failureCost))
	return c + v.farCost + v.coldLeft/100
}

// readTime returns the cost of reading tokens, which counts for each request in the batch because it stalls all of them.
func (v view) readTime(tokens int) time.Duration {
	return time.Duration(tokens) * prefillPerToken * time.Duration(1+min(v.inFlight, v.slots))
}
