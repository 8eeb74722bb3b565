package hgreplica

import "time"

const (
	// prefillPerToken is the time in which an engine reads one token of a prompt; engines read about 59 in a millisecond.
	prefillPerToken = 17 * time.Microsecond
	// crowdCost is what each other request of a batch costs a new one: a longer step for each of its tokens.
	crowdCost = 500 * time.Microsecond
	// failureCost is what a recent failure counts; it halves each failureHalfLife.
	failureCost     = 150 * time.Millisecond
	failureHalfLife = 2 * time.Second
	// maxStreak is the most times by which failures without an answer between them lengthen that, and errorStreak the
	// number of failed requests in a row from which they count.
	maxStreak   = 4
	errorStreak = 2
	// loadFor is how long a replica's own report of its load is believed.
	loadFor = time.Second
	// slowHalfLife is the time in which an observed delay is half forgotten, so that slow replicas are tried again.
	slowHalfLife = 3 * time.Second
	// minHold is the least time that a request is taken to hold a slot, before any was observed.
	minHold = 20 * time.Millisecond
	// observedWeight is the weight of a new observation of the delay in its average.
	observedWeight = 0.25
)

// view is what is known of a replica at the time of a choice.
type view struct {
	slots    int
	inFlight int
	// miss is the number of prompt tokens that the replica has to read anew.
	miss int
	// fetch is the number of tokens that it fetches from another replica, and fetchCost what that costs.
	fetch     int
	fetchCost time.Duration
	// delay is the average time to the first byte, and usual the least of the service's replicas.
	delay, usual time.Duration
	// hold is how long a request of the service takes a slot after its first byte.
	hold     time.Duration
	failures float64
	// far is what it costs that the replica is in another failure domain.
	far      time.Duration
	coldLeft time.Duration
}

// cost returns the expected time that a request loses on a replica.
func (v view) cost() time.Duration {
	c := v.readTime(v.miss) + v.fetchCost
	c += time.Duration(v.inFlight) * crowdCost
	if over := v.inFlight + 1 - v.slots; over > 0 {
		c += (v.usual + v.hold) * time.Duration(over) / time.Duration(max(v.slots, 1))
	}
	c += max(v.delay-v.usual, 0)
	c += time.Duration(v.failures * float64(failureCost))
	return c + v.far + v.coldLeft/100
}

// readTime returns what it costs to read some tokens, which stops all other requests of the batch as well.
func (v view) readTime(tokens int) time.Duration {
	return time.Duration(tokens) * prefillPerToken * time.Duration(1+min(v.inFlight, v.slots))
}
