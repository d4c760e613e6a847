package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// maxMessageDuration bounds the durations of valid messages.
	maxMessageDuration = 24 * time.Hour
	// maxCandidates bounds the candidates of a valid question.
	maxCandidates = 64
	// maxPrefixes bounds the prefixes that are used of a message.
	maxPrefixes = 8
	// maxCount bounds the counts in valid messages.
	maxCount = 1 << 30
	// maxSpeed bounds the speeds of valid messages, in tokens per second.
	maxSpeed = 1e9
)

// Errors of messages that are not used.
var (
	errInvalidDuration = errors.New("a duration is negative, too long or not a number")
	errInvalidCount    = errors.New("a count is too high")
	errInvalidSpeed    = errors.New("a speed is negative, too high or not a number")
	errNoCandidates    = errors.New("a question names no candidates")
	errCandidateCount  = errors.New("a question names too many candidates")
	errNoReplica       = errors.New("a replica has no id")
	errNotCandidate    = errors.New("the assigned replica is not a candidate")
	errEmptyEvent      = errors.New("an event says nothing")
	errNoProcess       = errors.New("the first message names no process")
)

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// decodeMs converts milliseconds to a duration, unless they are no valid one.
func decodeMs(ms float64) (time.Duration, error) {
	if !(ms >= 0 && ms <= milliseconds(maxMessageDuration)) { // false for NaN
		return 0, errInvalidDuration
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// decodeSpeed checks a speed in tokens per second.
func decodeSpeed(tokensPerSecond float64) (float64, error) {
	if !(tokensPerSecond >= 0 && tokensPerSecond <= maxSpeed) { // false for NaN
		return 0, errInvalidSpeed
	}
	return tokensPerSecond, nil
}

func decodeReplica(message *rpc.ReplicaIncarnation) (fleet.Incarnation, error) {
	replica := message.Incarnation()
	if replica.ID == "" {
		return replica, errNoReplica
	}
	return replica, nil
}

// count encodes a count, such as of tokens.
func count(tokens int) uint32 { return uint32(min(max(0, tokens), maxCount)) }

// dispatchMessage encodes a question without its candidates.
func dispatchMessage(request core.Question) *rpc.BalanceDispatch {
	message := &rpc.BalanceDispatch{
		Number: request.ID.Number, Service: request.Service, PromptTokens: count(request.PromptTokens), OutputTokens: count(request.OutputTokens),
		MaxGapMs: request.MaxGap.Milliseconds(), SlackMs: max(0, request.Slack).Milliseconds(), Priority: int32(request.Priority),
		TransferRate: finite(request.TransferRate),
	}
	for _, prefix := range request.Prefixes {
		message.Prefixes = append(message.Prefixes, &rpc.BalancePrefix{Key: prefix.Key, Tokens: count(prefix.Tokens)})
	}
	return message
}

// questionMessage encodes a question with its candidates.
func questionMessage(request core.Question) *rpc.BalanceDispatch {
	message := dispatchMessage(request)
	for _, candidate := range request.Candidates {
		message.Candidates = append(message.Candidates, candidateMessage(candidate))
	}
	return message
}

func candidateMessage(candidate balance.Candidate) *rpc.BalanceCandidate {
	return &rpc.BalanceCandidate{
		Replica: rpc.IncarnationMessage(candidate.Replica), Slots: count(candidate.Slots),
		PenaltyMs: milliseconds(max(0, candidate.Penalty)), CachedTokens: count(candidate.CachedTokens),
	}
}

// beganMessage encodes a dispatch to a replica of the daemon's choice, with what the question says of it.
func beganMessage(request core.Question, replica fleet.Incarnation) *rpc.BalanceDispatch {
	message := dispatchMessage(request)
	message.Replica = rpc.IncarnationMessage(replica)
	for _, candidate := range request.Candidates {
		if candidate.Replica == replica {
			message.Candidates = append(message.Candidates, candidateMessage(candidate))
		}
	}
	return message
}

// decodeBegan decodes a dispatch to a replica of a daemon's choice, which is the only candidate.
func decodeBegan(process string, message *rpc.BalanceDispatch) (request core.Question, err error) {
	if request, err = decodeDispatch(process, message); err != nil {
		return request, err
	}
	chosen := balance.Candidate{}
	if chosen.Replica, err = decodeReplica(message.GetReplica()); err != nil {
		return request, err
	}
	for _, candidate := range message.GetCandidates()[:min(len(message.GetCandidates()), maxCandidates)] {
		decoded, err := decodeCandidate(candidate)
		if err != nil {
			return request, err
		}
		if decoded.Replica == chosen.Replica {
			chosen = decoded
		}
	}
	request.Candidates = []balance.Candidate{chosen}
	return request, nil
}

// decodeDispatch decodes a question without its candidates.
func decodeDispatch(process string, message *rpc.BalanceDispatch) (request core.Question, err error) {
	if message.GetPromptTokens() > maxCount || message.GetOutputTokens() > maxCount {
		return request, errInvalidCount
	}
	request.Request = balance.Request{
		ID: balance.DispatchID{Process: process, Number: message.GetNumber()}, Service: message.GetService(),
		PromptTokens: int(message.GetPromptTokens()), OutputTokens: int(message.GetOutputTokens()), Priority: int(message.GetPriority()),
	}
	for _, prefix := range message.GetPrefixes()[:min(len(message.GetPrefixes()), maxPrefixes)] {
		if prefix.GetTokens() > maxCount {
			return request, errInvalidCount
		}
		request.Prefixes = append(request.Prefixes, core.Prefix{Key: prefix.GetKey(), Tokens: int(prefix.GetTokens())})
	}
	if request.TransferRate, err = decodeSpeed(message.GetTransferRate()); err != nil {
		return request, err
	}
	if request.MaxGap, err = decodeMs(float64(message.GetMaxGapMs())); err != nil {
		return request, err
	}
	request.Slack, err = decodeMs(float64(message.GetSlackMs()))
	return request, err
}

// decodeQuestion decodes a question with its candidates.
func decodeQuestion(process string, message *rpc.BalanceDispatch) (core.Question, error) {
	request, err := decodeDispatch(process, message)
	switch {
	case err != nil:
		return request, err
	case len(message.GetCandidates()) == 0:
		return request, errNoCandidates
	case len(message.GetCandidates()) > maxCandidates:
		return request, errCandidateCount
	}
	for _, candidate := range message.GetCandidates() {
		decoded, err := decodeCandidate(candidate)
		if err != nil {
			return request, err
		}
		request.Candidates = append(request.Candidates, decoded)
	}
	return request, nil
}

func decodeCandidate(message *rpc.BalanceCandidate) (candidate balance.Candidate, err error) {
	if message.GetSlots() > maxCount || message.GetCachedTokens() > maxCount {
		return candidate, errInvalidCount
	}
	candidate = balance.Candidate{Slots: int(message.GetSlots()), CachedTokens: int(message.GetCachedTokens())}
	if candidate.Replica, err = decodeReplica(message.GetReplica()); err != nil {
		return candidate, err
	}
	candidate.Penalty, err = decodeMs(message.GetPenaltyMs())
	return candidate, err
}

// decodeRunning decodes a dispatch of a stream's first message.
func decodeRunning(process string, message *rpc.BalanceDispatch) (balance.Running, error) {
	request, err := decodeDispatch(process, message)
	if err != nil {
		return balance.Running{}, err
	}
	replica, err := decodeReplica(message.GetReplica())
	if err != nil {
		return balance.Running{}, err
	}
	age, err := decodeMs(float64(message.GetAgeMs()))
	return balance.Running{
		Number: request.ID.Number, Service: request.Service, Replica: replica, PromptTokens: request.PromptTokens, Read: message.GetPromptRead(), MaxGap: request.MaxGap, Priority: request.Priority, Age: age,
	}, err
}

func estimateMessage(estimate balance.Estimate) *rpc.BalanceEstimate {
	return &rpc.BalanceEstimate{
		Replica: rpc.IncarnationMessage(estimate.Replica), Service: estimate.Service, TokensPerSecond: estimate.TokensPerSecond, AgeMs: max(0, estimate.Age.Milliseconds()),
		Answers: count(estimate.Answers),
	}
}

func decodeEstimate(message *rpc.BalanceEstimate) (estimate balance.Estimate, err error) {
	if message.GetAnswers() > maxCount {
		return estimate, errInvalidCount
	}
	estimate = balance.Estimate{Service: message.GetService(), Answers: int(message.GetAnswers())}
	if estimate.Replica, err = decodeReplica(message.GetReplica()); err != nil {
		return estimate, err
	}
	if estimate.TokensPerSecond, err = decodeSpeed(message.GetTokensPerSecond()); err != nil {
		return estimate, err
	}
	estimate.Age, err = decodeMs(float64(message.GetAgeMs()))
	return estimate, err
}

func assignmentMessage(number uint64, assignment balance.Assignment) *rpc.BalanceAssignment {
	message := &rpc.BalanceAssignment{
		Number: number, Replica: rpc.IncarnationMessage(assignment.Replica), DelayMs: milliseconds(max(0, assignment.Delay)),
		FirstByteMs: milliseconds(min(max(0, assignment.ExpectedFirstByte), maxMessageDuration)), TokensPerSecond: finite(assignment.TokensPerSecond), Reason: assignment.Reason.String(),
	}
	if assignment.Transfer.Tokens > 0 {
		message.TransferFrom, message.TransferTokens = rpc.IncarnationMessage(assignment.Transfer.From), count(assignment.Transfer.Tokens)
	}
	return message
}

// finite replaces a speed that is not a number, so that the receiver accepts the message.
func finite(tokensPerSecond float64) float64 {
	if math.IsNaN(tokensPerSecond) || math.IsInf(tokensPerSecond, 0) {
		return 0
	}
	return max(0, tokensPerSecond)
}

// decodeTransfer decodes the transfer of an assignment, if there is one.
func decodeTransfer(message *rpc.BalanceAssignment) (transfer balance.Transfer, err error) {
	switch {
	case message.GetTransferFrom() == nil:
		return transfer, nil
	case message.GetTransferTokens() > maxCount:
		return transfer, errInvalidCount
	}
	transfer.Tokens = int(message.GetTransferTokens())
	transfer.From, err = decodeReplica(message.GetTransferFrom())
	return transfer, err
}

// otherReason stands for reasons that this version does not know; reasons are labels of metrics, whose
// values must be few.
const otherReason = "other"

func decodeReason(text string) string {
	if balance.IsReason(text) {
		return text
	}
	return otherReason
}

// decodeChoice decodes the answer to a request.
func decodeChoice(request core.Question, message *rpc.BalanceAssignment) (choice core.Choice, err error) {
	choice = core.Choice{ByLeader: true, Replica: message.GetReplica().Incarnation(), Reason: decodeReason(message.GetReason())}
	if !slices.ContainsFunc(request.Candidates, func(candidate balance.Candidate) bool { return candidate.Replica == choice.Replica }) {
		return choice, errNotCandidate
	}
	if choice.Transfer, err = decodeTransfer(message); err != nil {
		return choice, err
	}
	if choice.Delay, err = decodeMs(message.GetDelayMs()); err != nil {
		return choice, err
	}
	if choice.ExpectedFirstByte, err = decodeMs(message.GetFirstByteMs()); err != nil {
		return choice, err
	}
	choice.TokensPerSecond, err = decodeSpeed(message.GetTokensPerSecond())
	return choice, err
}
