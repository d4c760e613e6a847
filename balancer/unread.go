package balancer

import "github.com/finchspoke/finchspoke/balance"

// unreadPrompts counts the prompt tokens that replicas have not read yet.
type unreadPrompts struct {
	prompts   map[string]map[uint64]unreadPrompt // by process and number of the dispatch
	byReplica map[string]int                     // tokens
}

type unreadPrompt struct {
	replica string
	tokens  int
}

func newUnreadPrompts() *unreadPrompts {
	return &unreadPrompts{prompts: map[string]map[uint64]unreadPrompt{}, byReplica: map[string]int{}}
}

// add counts the prompt of a dispatch at a replica, and no longer at an earlier one.
func (u *unreadPrompts) add(id balance.DispatchID, replica string, tokens int) {
	u.remove(id)
	if u.prompts[id.Process] == nil {
		u.prompts[id.Process] = map[uint64]unreadPrompt{}
	}
	u.prompts[id.Process][id.Number] = unreadPrompt{replica, tokens}
	u.byReplica[replica] += tokens
}

// remove stops counting the prompt of a dispatch.
func (u *unreadPrompts) remove(id balance.DispatchID) {
	prompt, exists := u.prompts[id.Process][id.Number]
	if !exists {
		return
	}
	delete(u.prompts[id.Process], id.Number)
	if u.byReplica[prompt.replica] -= prompt.tokens; u.byReplica[prompt.replica] == 0 {
		delete(u.byReplica, prompt.replica)
	}
}

// dropProcess stops counting the prompts of a process.
func (u *unreadPrompts) dropProcess(process string) {
	for number := range u.prompts[process] {
		u.remove(balance.DispatchID{Process: process, Number: number})
	}
	delete(u.prompts, process)
}

// total returns the tokens of all replicas, and the share of the replica with the most.
func (u *unreadPrompts) total() (tokens int, busiestShare float64) {
	most := 0
	for _, count := range u.byReplica {
		tokens += count
		most = max(most, count)
	}
	if tokens == 0 {
		return 0, 0
	}
	return tokens, float64(most) / float64(tokens)
}
