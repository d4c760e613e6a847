package balance

import (
	"slices"

	"github.com/finchspoke/finchspoke/fleet"
)

// minTransferTokens is the least that is worth a transfer; fewer tokens are read in about the time that it
// takes to set one up.
const minTransferTokens = 1_000

// Transfer moves leading tokens of a prompt that one replica has in its cache to another, which then need
// not read them.
type Transfer struct {
	From   fleet.Incarnation
	Tokens int // beyond those that the receiver's cache holds; zero means no transfer
}

// planTransfers sets for each candidate what it could get from the one that has read most of the prompt.
func planTransfers(request *Request) {
	if request.TransferRate <= 0 || len(request.Candidates) == 0 {
		return
	}
	source := slices.MaxFunc(request.Candidates, func(a, b Candidate) int { return a.ReadTokens - b.ReadTokens })
	if source.ReadTokens < minTransferTokens {
		return
	}
	request.Candidates = slices.Clone(request.Candidates)
	for index := range request.Candidates {
		candidate := &request.Candidates[index]
		if missing := source.ReadTokens - max(0, candidate.CachedTokens); missing >= minTransferTokens {
			candidate.transfer = Transfer{From: source.Replica, Tokens: missing}
		}
	}
}

// transferTime returns how long the transfer to a candidate takes, in seconds.
func transferTime(request *Request, candidate *Candidate) float64 {
	if candidate.transfer.Tokens == 0 {
		return 0
	}
	return float64(candidate.transfer.Tokens) / request.TransferRate
}
