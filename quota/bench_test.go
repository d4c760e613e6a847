package quota

import (
	"strconv"
	"testing"
	"time"
)

// One question at the holder, with credit lent ahead to 300 daemons.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1_000, 0)
	ledger := NewLedger(Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11_000}, true, now)
	ledger.SetLimits(map[string]Limit{"one": {PerSecond: 176_000, Burst: 176_000}}, now)
	names := make([]string, 300)
	for number := range names {
		names[number] = "daemon-" + strconv.Itoa(number)
	}
	b.ReportAllocs()
	for number := range b.N {
		now = now.Add(10 * time.Millisecond)
		ledger.Answer(names[number%len(names)], Request{ID: uint64(number), Tenant: "one", Cost: 1600}, now)
	}
}
