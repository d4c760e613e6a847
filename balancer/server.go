package balancer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// silentTimeout is how long a daemon may send nothing, not even heartbeats, before its dispatches
	// are counted as lost.
	silentTimeout = 3 * heartbeatInterval
	// sweepInterval is the time between two searches for silent daemons and old dispatches.
	sweepInterval = time.Second
)

// Server assigns replicas while this daemon is the leader. It implements rpc.DRPCBalanceServer.
type Server struct {
	// Term returns the fence of this daemon's term, zero if it has none, and how certain the term is.
	Term func() (fence int64, status election.TermStatus)
	// Now is the clock; nil means time.Now.
	Now     func() time.Time
	Metrics *Metrics
	Log     logrus.FieldLogger

	mutex    sync.Mutex
	ledger   *balance.Ledger
	unread   *unreadPrompts
	prefixes *prefixCaches
	fence    int64               // term of the ledger; zero before the first one
	sessions map[string]*session // current stream of each process
	// speeds are the ledger's estimates at the latest sweep.
	speeds  map[fleet.Incarnation]balance.Estimate
	sweptAt time.Time
}

// session is the stream of one daemon's process.
type session struct {
	process       string
	stream        uint64 // rises with each stream of the process
	fence         int64  // of the term in which it began; zero before the first message
	lastMessageAt time.Time
	warned        bool // a message was invalid
}

var (
	// errNotLeader closes the streams of daemons that must connect to another leader.
	errNotLeader = errors.New("this daemon is not the leader; connect to the current leader")
	// errSessionEnded closes a stream whose dispatches are no longer counted.
	errSessionEnded = errors.New("the process opened another stream or was silent for too long; connect again")
)

// Assign implements rpc.DRPCBalanceServer.
func (s *Server) Assign(stream rpc.DRPCBalance_AssignStream) error {
	current := &session{}
	defer s.end(current)
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		answers, err := s.handle(current, message, s.now())
		if err != nil {
			return err
		}
		if answers == nil {
			continue
		}
		if err := stream.Send(answers); err != nil {
			return err
		}
	}
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// handle applies a message. It returns the answers, or nil if the message needs none.
func (s *Server) handle(current *session, message *rpc.BalanceQuestions, now time.Time) (*rpc.BalanceAnswers, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkTerm(current); err != nil {
		return nil, err
	}
	isFirst := current.fence == 0
	if isFirst {
		if err := s.begin(current, message, now); err != nil {
			return nil, err
		}
	} else if s.sessions[current.process] != current {
		return nil, errSessionEnded
	}
	current.lastMessageAt = now
	s.sweep(now)
	answers := &rpc.BalanceAnswers{Fence: s.fence}
	asked := make(map[uint64]bool, len(message.GetQuestions()))
	for _, question := range message.GetQuestions() {
		asked[question.GetNumber()] = true
	}
	// Events of other dispatches come first, so that the questions are answered with all that is known.
	s.applyEvents(current, message.GetEvents(), func(number uint64) bool { return !asked[number] }, now)
	for _, question := range message.GetQuestions() {
		answers.Assignments = append(answers.Assignments, s.assign(current, question, now))
	}
	s.applyEvents(current, message.GetEvents(), func(number uint64) bool { return asked[number] }, now)
	if !isFirst && !isAnswered(message) {
		return nil, nil
	}
	return answers, nil
}

// checkTerm returns an error unless a stream belongs to this daemon's term. A new term begins with an
// empty ledger, and only once its lease is surely in effect. The caller holds the mutex.
func (s *Server) checkTerm(current *session) error {
	term, status := s.Term()
	if term == 0 || current.fence != 0 && current.fence != term || status != election.TermValid && term != s.fence {
		return errNotLeader
	}
	if term != s.fence {
		s.ledger, s.unread, s.sessions, s.fence = balance.NewLedger(), newUnreadPrompts(), map[string]*session{}, term
		s.speeds, s.prefixes, s.sweptAt = nil, newPrefixCaches(), time.Time{}
		s.Log.WithField(logging.Fence, term).Info(logging.MessageAccountStarted)
	}
	return nil
}

// begin applies the first message of a stream. The caller holds the mutex.
func (s *Server) begin(current *session, message *rpc.BalanceQuestions, now time.Time) error {
	current.process = message.GetProcess()
	if current.process == "" {
		s.countInvalid(current, errNoProcess)
		return errNoProcess
	}
	current.stream = message.GetStream()
	// After a pause of this process, streams that were closed meanwhile still show their first messages.
	if newer := s.sessions[current.process]; newer != nil && newer.stream > current.stream {
		return errSessionEnded
	}
	current.fence, s.sessions[current.process] = s.fence, current
	s.unread.dropProcess(current.process)
	var running []balance.Running
	for _, entry := range message.GetRunning() {
		decoded, err := decodeRunning(current.process, entry)
		if err != nil {
			s.countInvalid(current, err)
			continue
		}
		running = append(running, decoded)
		if !decoded.Read {
			s.unread.add(balance.DispatchID{Process: current.process, Number: decoded.Number}, decoded.Replica.ID, decoded.PromptTokens)
		}
	}
	s.ledger.Adopt(current.process, running, now)
	var estimates []balance.Estimate
	for _, entry := range message.GetEstimates() {
		decoded, err := decodeEstimate(entry)
		if err != nil {
			s.countInvalid(current, err)
			continue
		}
		estimates = append(estimates, decoded)
	}
	s.ledger.AdoptEstimates(estimates, now)
	return nil
}

// assign answers a question. The caller holds the mutex.
func (s *Server) assign(current *session, question *rpc.BalanceDispatch, now time.Time) *rpc.BalanceAssignment {
	unassigned := &rpc.BalanceAssignment{Number: question.GetNumber()}
	request, err := decodeQuestion(current.process, question)
	if err != nil {
		s.countInvalid(current, err)
		return unassigned
	}
	s.prefixes.drop(request.ID)
	for index := range request.Candidates {
		s.estimateCache(&request.Candidates[index], request.Prefixes, now)
	}
	assignment, assigned := s.ledger.Assign(request.Request, now)
	if !assigned {
		return unassigned
	}
	s.prefixes.add(request.ID, assignment.Replica, request.Prefixes, now)
	s.unread.add(request.ID, assignment.Replica.ID, request.PromptTokens)
	message := assignmentMessage(question.GetNumber(), assignment)
	if estimate, known := s.speeds[assignment.Replica]; known {
		estimate.Age += now.Sub(s.sweptAt)
		message.Estimate = estimateMessage(estimate)
	}
	return message
}

// estimateCache sets what the cache of a candidate probably holds of a prompt. The caller holds the mutex.
func (s *Server) estimateCache(candidate *balance.Candidate, prefixes []core.Prefix, now time.Time) {
	cached, read := s.prefixes.cachedTokens(candidate.Replica, prefixes, now)
	candidate.CachedTokens, candidate.ReadTokens = max(candidate.CachedTokens, cached), read
}

// applyEvents applies the events of the dispatches that are selected by number. The caller holds the
// mutex.
func (s *Server) applyEvents(current *session, events []*rpc.BalanceEvent, isSelected func(number uint64) bool, now time.Time) {
	for _, event := range events {
		if !isSelected(event.GetNumber()) {
			continue
		}
		if err := s.applyEvent(balance.DispatchID{Process: current.process, Number: event.GetNumber()}, event, now); err != nil {
			s.countInvalid(current, err)
		}
	}
}

// applyEvent applies one event. The caller holds the mutex.
func (s *Server) applyEvent(id balance.DispatchID, event *rpc.BalanceEvent, now time.Time) error {
	switch {
	case event.GetBegan() != nil:
		request, err := decodeBegan(id.Process, event.GetBegan())
		if err != nil {
			return err
		}
		request.ID = id
		s.begun(request, now)
	case event.GetFirstByte() != nil:
		took, err := decodeMs(event.GetFirstByte().GetAfterMs())
		if err != nil {
			return err
		}
		s.ledger.RecordFirstByte(id, took, now)
		s.prefixes.recordFirstByte(id, now)
		s.unread.remove(id)
	case event.GetEnded():
		s.ledger.End(id, now)
		s.prefixes.drop(id)
		s.unread.remove(id)
	default:
		return errEmptyEvent
	}
	return nil
}

// begun charges the replica that a daemon chose itself, the only candidate. The caller holds the mutex.
func (s *Server) begun(request core.Question, now time.Time) {
	chosen := &request.Candidates[0]
	s.prefixes.drop(request.ID)
	s.estimateCache(chosen, request.Prefixes, now)
	s.ledger.Begin(request.Request, chosen.Replica, now)
	s.prefixes.add(request.ID, chosen.Replica, request.Prefixes, now)
	s.unread.add(request.ID, chosen.Replica.ID, request.PromptTokens)
}

// countInvalid counts a part of a message that cannot be used, and logs the first one of a stream. The
// caller holds the mutex.
func (s *Server) countInvalid(current *session, cause error) {
	s.Metrics.countInvalid("question")
	if !current.warned {
		current.warned = true
		s.Log.WithFields(logrus.Fields{logging.Source: current.process, logging.Cause: cause.Error()}).Warn(logging.MessageInvalidAssignment)
	}
}

// end forgets a stream and the dispatches of its process, unless another stream has replaced it.
func (s *Server) end(ended *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ended.fence != 0 && s.sessions[ended.process] == ended {
		s.detach(ended, s.now())
	}
}

// detach removes a stream; the caller holds the mutex.
func (s *Server) detach(ended *session, now time.Time) {
	delete(s.sessions, ended.process)
	s.ledger.Detach(ended.process, now)
	s.unread.dropProcess(ended.process)
}

// sweep detaches silent daemons and drops old dispatches from time to time. The caller holds the mutex.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for _, current := range s.sessions {
		if now.Sub(current.lastMessageAt) > silentTimeout {
			s.detach(current, now)
		}
	}
	s.ledger.Expire(now)
	s.prefixes.expire(now)
	s.speeds = map[fleet.Incarnation]balance.Estimate{}
	for _, estimate := range s.ledger.Estimates(now) {
		s.speeds[estimate.Replica] = estimate
	}
}

// UnreadTokens returns the prompt tokens that replicas have not read yet, over all daemons, and the share
// of the replica with the most; zero while this daemon is not the leader.
func (s *Server) UnreadTokens() (total int, busiestShare float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term, _ := s.Term(); s.unread == nil || term != s.fence {
		return 0, 0
	}
	return s.unread.total()
}
