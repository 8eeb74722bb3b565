package hgmemory_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgmemory"
)

// testClock is a clock that a test sets.
type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

func nothing(int) {}

// stalled returns a body that holds the bytes of a client that stopped short of the end. err is what its read returned.
func stalled(t *testing.T, p *hgmemory.Account, size int) (b *hgmemory.Claim, interrupted *bool) {
	t.Helper()
	interrupted = new(bool)
	b = p.Open(func() { *interrupted = true })
	stop := errors.New("stopped")
	r := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), iotest.ErrReader(stop))
	if _, err := b.Read(r, -1, 1<<30, nothing); !errors.Is(err, stop) {
		t.Fatalf("the read of a stalled body: %v", err)
	}
	return b, interrupted
}

// Guards against bodies whose bytes are lost or changed by the blocks, at sizes around those of blocks.
func TestBodiesAreReadWhole(t *testing.T) {
	p := hgmemory.NewAccount(16<<20, &testClock{})
	for _, size := range []int{0, 1, 2047, 2048, 2049, 16 << 10, 16<<10 + 1, 18 << 10, 18<<10 + 1, 4 << 20} {
		source := make([]byte, size)
		for i := range source {
			source[i] = byte(i * 7 >> 3)
		}
		for _, declared := range []int64{-1, int64(size)} {
			for name, r := range map[string]io.Reader{"whole": bytes.NewReader(source), "pieces": iotest.HalfReader(bytes.NewReader(source))} {
				b := p.Open(func() {})
				data, err := b.Read(r, declared, 4<<20, nothing)
				if err != nil || !bytes.Equal(data, source) {
					t.Errorf("size %d, declared %d, %s: %d bytes, error %v", size, declared, name, len(data), err)
				}
				b.Close()
			}
		}
	}
}

// Guards against a body beyond the limit that is read on, and against a charge that stays.
func TestTooLongBody(t *testing.T) {
	p := hgmemory.NewAccount(1<<20, &testClock{})
	for range 100 {
		b := p.Open(func() {})
		if _, err := b.Read(strings.NewReader(strings.Repeat("x", 100_000)), -1, 50_000, nothing); !errors.Is(err, hgmemory.ErrTooLong) {
			t.Fatalf("error %v, want too long", err)
		}
		b.Close()
	}
	b := p.Open(func() {})
	defer b.Close()
	if err := b.Charge(800_000); err != nil {
		t.Errorf("the memory of closed bodies stays charged: %v", err)
	}
}

// Guards against many stalled bodies that keep a quick one out: the one that has held the most for longest gives way, and only as many
// as needed.
func TestStalledBodyGivesWay(t *testing.T) {
	clock := &testClock{}
	p := hgmemory.NewAccount(1<<20, clock)
	first, firstEnded := stalled(t, p, 300<<10)
	defer first.Close()
	clock.now = time.Second
	second, secondEnded := stalled(t, p, 500<<10)
	defer second.Close()
	clock.now = 3 * time.Second
	quick := p.Open(func() { t.Error("the quick body gave way") })
	defer quick.Close()
	if _, err := quick.Read(strings.NewReader(strings.Repeat("x", 200<<10)), -1, 1<<20, nothing); err != nil {
		t.Fatal(err)
	}
	if !*secondEnded || *firstEnded {
		t.Errorf("gave way: the larger one %v, the smaller one %v; want the larger one alone", *secondEnded, *firstEnded)
	}
}

// Guards against large bodies, unfinished or whole, that keep small ones out, and against small ones that large ones push out.
func TestSmallBodiesGoOn(t *testing.T) {
	p := hgmemory.NewAccount(1<<20, &testClock{})
	small := p.Open(func() { t.Error("a small body gave way to a large one") })
	defer small.Close()
	if err := small.Charge(1000); err != nil {
		t.Fatal(err)
	}
	whole := p.Open(func() {})
	defer whole.Close()
	if _, err := whole.Read(strings.NewReader(strings.Repeat("x", 400<<10)), 400<<10, 1<<20, nothing); err != nil {
		t.Fatal(err)
	}
	large := p.Open(func() {})
	defer large.Close()
	if _, err := large.Read(strings.NewReader(strings.Repeat("x", 600<<10)), 600<<10, 1<<20, nothing); !errors.Is(err, hgmemory.ErrShed) {
		t.Errorf("a body beyond the memory: error %v", err)
	}
	for range 50 {
		b := p.Open(func() {})
		defer b.Close()
		if _, err := b.Read(strings.NewReader("small"), 5, 1<<20, nothing); err != nil {
			t.Fatal(err)
		}
	}
	p.SetShort(true)
	if err := large.Charge(1 << 20); !errors.Is(err, hgmemory.ErrShed) {
		t.Errorf("near the memory limit a large body is taken: %v", err)
	}
}

// Guards against bodies of few bytes that cost blocks: memory for 400 KB of them takes 200 bodies of a byte.
func TestFewBytesCostLittle(t *testing.T) {
	p := hgmemory.NewAccount(400<<10, &testClock{})
	for range 200 {
		b, interrupted := stalled(t, p, 1)
		defer b.Close()
		defer func() {
			if *interrupted {
				t.Error("a body of one byte gave way")
			}
		}()
	}
}

// Guards against a full account that closes the wrong connections: the longest idle goes first, then the heaviest unfinished request, and
// never a whole one.
func TestOrderOfGivingWay(t *testing.T) {
	const size = 10_000
	clock := &testClock{}
	a := hgmemory.NewAccount(6*size, clock)
	var claims []*hgmemory.Claim
	var order []int
	for i := range 6 {
		clock.now += time.Second
		c, err := a.OpenConn(size, func() {
			order = append(order, i)
			claims[i].Close()
		})
		if err != nil {
			t.Fatal(err)
		}
		claims = append(claims, c)
	}
	if err := errors.Join(claims[0].Hold(size), claims[1].Receive(size), claims[2].Receive(size-1000)); err != nil {
		t.Fatal(err)
	}
	clock.now += time.Second
	admit := func() error {
		c, err := a.OpenConn(size, func() { t.Error("a whole request gave way") })
		if err != nil {
			return err
		}
		return c.Hold(size)
	}
	for range 5 {
		if err := admit(); err != nil {
			t.Fatal(err)
		}
	}
	if err := admit(); !errors.Is(err, hgmemory.ErrShed) {
		t.Errorf("a connection beside whole requests: error %v", err)
	}
	if diff := cmp.Diff([]int{3, 4, 5, 1, 2}, order); diff != "" {
		t.Errorf("order of giving way (-want +got):\n%s", diff)
	}
}

// Guards against refused requests whose connections are still open and whose memory is used a second time, and against a connection that
// gives way though a request has arrived on it.
func TestMemoryOfRefusedRequestsCounts(t *testing.T) {
	const size = 10_000
	a := hgmemory.NewAccount(4*size, &testClock{})
	var claims []*hgmemory.Claim
	for i := range 5 {
		c, err := a.OpenConn(size, func() {})
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		claims = append(claims, c)
	}
	if _, err := a.OpenConn(size, func() {}); !errors.Is(err, hgmemory.ErrShed) {
		t.Fatalf("beyond the part for claims that give way: error %v", err)
	}
	for _, c := range claims {
		c.Close()
	}
	var kept *hgmemory.Claim
	kept, err := a.OpenConn(4*size, func() { kept.Keep() })
	if err != nil {
		t.Fatalf("after the end of all others: %v", err)
	}
	if _, err := a.OpenConn(size, func() {}); !errors.Is(err, hgmemory.ErrShed) {
		t.Errorf("beside a connection with a request: error %v", err)
	}
}

// Guards against a body that gives way by its own bytes alone: its connection ends with it.
func TestBodyCountsWithItsConnection(t *testing.T) {
	clock := &testClock{}
	a := hgmemory.NewAccount(1<<20, clock)
	ended := ""
	for name, head := range map[string]int{"large head": 600_000, "small head": 100_000} {
		conn, err := a.OpenConn(head, func() { t.Error("a connection with a request gave way") })
		if err == nil {
			err = conn.Hold(head)
		}
		if err != nil {
			t.Fatal(err)
		}
		body := a.OpenBody(conn, func() { ended += name })
		if err := body.Charge(1000); err != nil {
			t.Fatal(err)
		}
	}
	clock.now = time.Second
	quick := a.Open(func() {})
	if err := quick.Charge(300_000); err != nil {
		t.Fatal(err)
	}
	if ended != "large head" {
		t.Errorf("gave way: %q", ended)
	}
}

// Guards against callers that are closed between their connection and their first byte while clients hold unfinished requests.
func TestNewConnectionIsKept(t *testing.T) {
	clock := &testClock{}
	a := hgmemory.NewAccount(600_000, clock)
	var unfinished *hgmemory.Claim
	gaveWay := false
	unfinished, err := a.OpenConn(10_000, func() {
		gaveWay = true
		unfinished.Close()
	})
	if err == nil {
		err = unfinished.Receive(400_000)
	}
	if err != nil {
		t.Fatal(err)
	}
	clock.now += 100 * time.Millisecond
	for range 40 {
		if _, err := a.OpenConn(10_000, func() { t.Error("a new connection gave way") }); err != nil {
			t.Fatal(err)
		}
	}
	if !gaveWay {
		t.Error("the unfinished request has not given way")
	}
}
