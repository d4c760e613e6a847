package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

// BenchmarkPermitAtHolder is what the holder spends on a question for a permit, of which it gets one for
// each request to a replica with a limit, where so many daemons ask for a hundred such replicas.
func BenchmarkPermitAtHolder(b *testing.B) {
	for _, daemons := range []int{9, 985} {
		b.Run(fmt.Sprintf("%d daemons", daemons), func(b *testing.B) {
			log, _ := test.NewNullLogger()
			held := &Server{
				Bounds: testBounds, Table: &routing.Store{}, Term: func() (int64, election.TermStatus) { return 1, election.TermValid },
				IsFirstTerm: func() bool { return true }, Reached: func() float64 { return 1 }, LimitOf: func(string) float64 { return 1 }, Log: log,
			}
			held.BeginTerm()
			now := time.Now()
			question, answer := 0, 0
			for number := 0; b.Loop(); number++ {
				now = now.Add(10 * time.Millisecond)
				asked := permitQuestion{id: uint64(number), ask: permit.Request{
					Replica: fleet.Incarnation{ID: fmt.Sprintf("i-%010d", number%100), Born: 1_768_196_162_000}, PerSecond: 1, MaxWait: 400 * time.Millisecond,
				}}
				message := &rpc.QuotaQuestions{Questions: []*rpc.QuotaQuestion{asked.message()}}
				answers, err := held.take(fmt.Sprint(number%daemons), 1, message, now)
				if err != nil {
					b.Fatal(err)
				}
				question, answer = proto.Size(message), proto.Size(answers)
			}
			b.ReportMetric(float64(question), "question-bytes")
			b.ReportMetric(float64(answer), "answer-bytes")
		})
	}
}
