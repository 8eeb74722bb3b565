package hgpace

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// overdueFactor is how many times the service's 95th percentile a replica may be silent. Replicas in a slow spell take up to
	// 3.25 times as long as usual.
	overdueFactor = 4
	// minOverdue is the shortest silence that is overdue. Pauses of a machine or a link below it are common.
	minOverdue = 100 * time.Millisecond
	// maxOverdue is the silence that is overdue in a slow service. Callers leave streams that have not begun after 2 s, and a request
	// that is sent elsewhere needs the rest of that time.
	maxOverdue = 1500 * time.Millisecond
	// minOverdueFactor holds also where maxOverdue is less, so that a service whose usual answers take seconds is not suspected.
	minOverdueFactor = 2
	// minAnswers is the number of answers from which the distribution of a service is used.
	minAnswers = 20
	// distributionWindow is the age up to which answers count, in distributionParts parts that expire one at a time. It is many times
	// longer than a hang of 6 s, and short against changes of a service's load.
	distributionWindow = 30 * time.Second
	distributionParts  = 3
	// thresholdTTL is how long a computed threshold is used; it saves the merge of the histograms on each request.
	thresholdTTL = 250 * time.Millisecond
	// maxTook is the upper limit of the histograms; longer times are recorded as this one.
	maxTook = time.Minute
	// tookDigits is the precision of the histograms in decimal digits.
	tookDigits = 2
)

// service holds the distribution of the time to the first byte of one service's answers.
type service struct {
	// enabled says that a replica of the service has reported its slowness.
	enabled   bool
	replicas  map[string]*Replica
	took      *hdrhistogram.WindowedHistogram
	rotatedAt time.Duration
	// limit is the threshold as of limitAt; 0 before minAnswers answers.
	limit, limitAt time.Duration
	// usual is the 95th percentile as of limitAt.
	usual time.Duration
}

func newService() *service {
	return &service{replicas: map[string]*Replica{}, took: hdrhistogram.NewWindowed(distributionParts, 1, maxTook.Microseconds(), tookDigits)}
}

// record adds the time to the first byte of an answer.
func (s *service) record(now, took time.Duration) {
	if now-s.rotatedAt >= distributionWindow/distributionParts {
		s.took.Rotate()
		s.rotatedAt = now
	}
	// The value is within the limits of the histogram, so there is no error.
	_ = s.took.Current.RecordValue(min(max(took, time.Microsecond), maxTook).Microseconds())
}

// threshold returns the silence from which a replica is overdue, or 0 if it is not known. After a time without answers the last
// one holds.
func (s *service) threshold(now time.Duration) time.Duration {
	if s.limitAt > 0 && now-s.limitAt < thresholdTTL {
		return s.limit
	}
	s.limitAt = now
	h := s.took.Merge()
	if h.TotalCount() < minAnswers {
		return s.limit
	}
	s.usual = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
	s.limit = max(min(overdueFactor*s.usual, maxOverdue), minOverdueFactor*s.usual, minOverdue)
	return s.limit
}
