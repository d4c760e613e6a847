package origin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// model plays a release of a second version beside kills and cuts of daemons, whose callers take their streams up
// elsewhere.
type model struct {
	*testFleet
	random  *rand.Rand
	count   int // daemons
	streams map[*testDaemon][]modelStream
	next    int
	down    map[string]time.Time // when a daemon ended
	seenAt  map[string]time.Time // when a daemon learns of the second version
	maxLag  time.Duration        // until all daemons have learned of it
	every   int                  // steps between two disturbances
	outcome modelOutcome
}

type modelStream struct {
	number  int
	version string
	began   time.Time
}

type modelOutcome struct{ begun, resumed, known, wrong int }

const (
	modelLength   = 40 * time.Second
	modelRelease  = 10 * time.Second // when the second version appears
	modelStep     = 50 * time.Millisecond
	modelDuration = 4 * time.Second // of a stream
	modelRestart  = 1500 * time.Millisecond
	// modelCatchUp is how long a daemon that was cut off takes to read the records again.
	modelCatchUp = 600 * time.Millisecond
	// modelListDelay is how long the list of keepers lags behind.
	modelListDelay = time.Second
	// modelStreams is how many streams the daemons begin together in a second.
	modelStreams = 40
)

func newModel(t *testing.T, count int, seed uint64) *model {
	m := &model{testFleet: newTestFleet(t, count, "v1"), random: rand.New(rand.NewPCG(seed, 0)), count: count,
		streams: map[*testDaemon][]modelStream{}, down: map[string]time.Time{}, seenAt: map[string]time.Time{}, every: 30}
	m.tellKeepers()
	return m
}

// tellKeepers has the leader, which is always there, name the keepers.
func (m *model) tellKeepers() {
	var keepers []*testDaemon
	for _, d := range m.daemons[:min(len(m.daemons), max(16, m.count/8))] {
		if at, down := m.down[d.id]; !down || time.Since(at) < modelListDelay {
			keepers = append(keepers, d)
		}
	}
	m.setKeepers(keepers...)
}

func (m *model) isUp(d *testDaemon) bool {
	_, down := m.down[d.id]
	return !down && !m.isSilent(d)
}

func (m *model) isSilent(d *testDaemon) (silent bool) {
	m.set(func() { silent = d.silent })
	return silent
}

// up returns a random daemon that is in touch.
func (m *model) up() *testDaemon {
	for {
		if d := m.daemons[m.random.IntN(len(m.daemons))]; m.isUp(d) {
			return d
		}
	}
}

func (m *model) upCount() (count int) {
	for _, d := range m.daemons {
		if m.isUp(d) {
			count++
		}
	}
	return count
}

// play runs the model.
func (m *model) play() {
	startedAt := time.Now()
	for step := 0; time.Since(startedAt) < modelLength; step++ {
		elapsed := time.Since(startedAt)
		if elapsed >= modelRelease {
			m.release(startedAt.Add(modelRelease))
		}
		for range int(modelStreams * modelStep / time.Second) {
			m.begin()
		}
		if step%m.every == m.every-1 && 2*m.upCount() > m.count {
			m.disturb()
		}
		if step%10 == 9 {
			m.restart()
			m.tellKeepers()
		}
		time.Sleep(modelStep)
	}
}

// release lets daemons learn of the second version, each after a lag of its own.
func (m *model) release(at time.Time) {
	for _, d := range m.daemons {
		if m.seenAt[d.id].IsZero() {
			m.seenAt[d.id] = at.Add(time.Duration(m.random.Int64N(int64(m.maxLag) + 1)))
		}
		if !time.Now().Before(m.seenAt[d.id]) && !m.isSilent(d) && len(m.viewOf(d).Versions) == 1 {
			m.set(func() { d.versions.Versions = twoVersions })
		}
	}
}

// begin begins a stream at a version that the daemon knows.
func (m *model) begin() {
	d := m.up()
	versions := m.viewOf(d).Versions
	stream := modelStream{m.next, versions[m.random.IntN(len(versions))], time.Now()}
	m.next++
	m.outcome.begun++
	d.began(stream.version, stream.number, stream.number+1)
	m.streams[d] = append(m.streams[d], stream)
}

// disturb kills a daemon or cuts one off, and has its callers come back elsewhere.
func (m *model) disturb() {
	victim := m.up()
	m.begin()
	if m.random.IntN(3) == 0 {
		m.set(func() { victim.silent, victim.versions.Current = true, false })
		time.AfterFunc(5*time.Second, func() {
			m.set(func() { victim.silent = false })
			time.AfterFunc(modelCatchUp, func() { m.set(func() { victim.versions.Current = true }) })
		})
	} else {
		m.down[victim.id] = time.Now()
		m.kill(victim)
	}
	broken := m.streams[victim]
	delete(m.streams, victim)
	time.Sleep(time.Duration(m.random.IntN(200)) * time.Millisecond)
	for _, stream := range broken {
		if time.Since(stream.began) < modelDuration {
			m.resume(stream)
		}
	}
}

// resume takes a stream up at another daemon.
func (m *model) resume(stream modelStream) {
	m.outcome.resumed++
	resolution := m.up().Resolve(m.t.Context(), queryOf(fmt.Sprint("a", stream.number), fmt.Sprint("r", stream.number)))
	switch {
	case resolution.Known && resolution.Version == stream.version:
		m.outcome.known++
	case resolution.Known:
		m.outcome.wrong++
	}
}

// restart starts daemons again that ended a while ago; they have not watched the registry for long.
func (m *model) restart() {
	for index, d := range m.daemons {
		if at, down := m.down[d.id]; down && time.Since(at) >= modelRestart {
			m.daemons[index] = m.start(d.id, m.viewOf(d).Versions...)
			m.set(func() { m.daemons[index].versions.Covered = false })
			m.daemons[index].seeds = []string{"d0", "d1"}
			delete(m.down, d.id)
		}
	}
}

// playSeeds plays the model with several seeds and returns the sum of the outcomes.
func playSeeds(t *testing.T, daemons int, seeds uint64, change func(*model)) (total modelOutcome) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t, daemons, seed)
			defer m.stopAll()
			change(m)
			m.play()
			total = modelOutcome{total.begun + m.outcome.begun, total.resumed + m.outcome.resumed, total.known + m.outcome.known, total.wrong + m.outcome.wrong}
		})
	}
	t.Logf("%d daemons: %+v", daemons, total)
	return total
}

// Guards against streams that go on at another version, or cannot go on, beside kills, cuts and restarts of daemons.
func TestStreamsAreResolvedBesideKillsAndCuts(t *testing.T) {
	for _, test := range []struct {
		daemons int
		seeds   uint64
		every   int // steps between two disturbances; three daemons cannot bear the loss of two within a stream
	}{{3, 6, 90}, {9, 6, 30}, {69, 6, 30}, {300, 2, 30}} {
		t.Run(fmt.Sprint(test.daemons, " daemons"), func(t *testing.T) {
			total := playSeeds(t, test.daemons, test.seeds, func(m *model) { m.every, m.maxLag = test.every, 100*time.Millisecond })
			require.NotZero(t, total.resumed)
			require.Zero(t, total.wrong)
			require.GreaterOrEqual(t, float64(total.known), 0.95*float64(total.resumed))
		})
	}
}

// Guards against an encoding of origins that grows, and against a cost of streams of one version that alone exceeds the
// 3 KB/s that a daemon may exchange for control.
func TestBytesForAStream(t *testing.T) {
	const streams, interval = 175, 57 * time.Millisecond // as one of 320 daemons serves in ten seconds at 5,600 a second
	for name, test := range map[string]struct {
		versions []string
		keepers  float64
		maxBytes float64
	}{
		"several versions": {twoVersions, 5, 500},
		"one version":      {[]string{"1.4.2"}, 2, 3000 * interval.Seconds()},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 40, test.versions, func(t *testing.T, fleet *testFleet) {
				d := fleet.daemons[39]
				settle()
				for number := range streams {
					attempt := fmt.Sprintf("%016x", number)
					d.RecordOrigin(Origin{Attempt: attempt, Fingerprint: fingerprintOf(attempt), Service: "lohu930", Tenant: "", Version: "1.4.2"})
					time.Sleep(interval)
				}
				settle()
				messages, bytes := fleet.delivered()
				published := valueOf(d.Metrics.published)
				t.Logf("for each stream: %.1f keepers told, %.1f messages, %.0f bytes", published/streams, float64(messages)/streams, float64(bytes)/streams)
				require.InDelta(t, test.keepers, published/streams, 0.3)
				require.Less(t, float64(bytes)/streams, test.maxBytes)
			})
		})
	}
}

// BenchmarkRecordOrigin measures what recording costs a request at 40 keepers.
func BenchmarkRecordOrigin(b *testing.B) {
	var ids []string
	for number := range 40 {
		ids = append(ids, fmt.Sprint("front-nitra-a-", number))
	}
	var keepers []Keeper
	for _, id := range ids {
		keepers = append(keepers, Keeper{Daemon: id})
	}
	list := newKeeperList(keepers)
	origins := make([]Origin, 1024)
	for number := range origins {
		origins[number] = originOf(fmt.Sprint("a", number), fmt.Sprint("r", number), "v1")
	}
	b.ResetTimer()
	for number := range b.N {
		if owners := list.owners(origins[number%len(origins)], "d", true); slices.Contains(owners, "") {
			b.Fatal("empty owner")
		}
	}
}

// Guards against messages that outgrow the share of the network that control traffic may have.
func TestBytesOfABatch(t *testing.T) {
	for _, count := range []int{1, 10, maxBatch} {
		var batch []dated
		for number := range count {
			attempt := fmt.Sprintf("%016x", number)
			batch = append(batch, dated{Origin{Attempt: attempt, Fingerprint: fingerprintOf(attempt), Service: "lohu930", Version: "1.4.2"}, start})
		}
		bytes := proto.Size(encodeBatch(batch, start.Add(5*time.Second)))
		t.Logf("%d origins: %d bytes, %.1f each", count, bytes, float64(bytes)/float64(count))
		require.LessOrEqual(t, bytes, 64+48*count)
	}
}
