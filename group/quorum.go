package group

// tally counts the members' answers to one claim. It is pure.
type tally struct {
	view      View
	accepted  int
	standing  []Record
	wrongView int
	failed    int // no answer: the member may hold the claim or not
}

// decision is what a tally says so far.
type decision int

const (
	undecided decision = iota
	// counted: a write quorum holds the claim; no other can count.
	counted
	// taken: it can no longer count because another claim stands.
	taken
	// stale: the view is not served any more.
	stale
	// unreachable: too few members answer.
	unreachable
)

func (t *tally) add(verdict Verdict, standing Record, err error) {
	switch {
	case err != nil:
		t.failed++
	case verdict == Accepted:
		t.accepted++
	case verdict == Standing:
		t.standing = append(t.standing, standing)
	default:
		t.wrongView++
	}
}

// decide tells as soon as the answers still missing cannot change it.
func (t *tally) decide() decision {
	quorum := t.view.writeQuorum()
	if t.accepted >= quorum {
		return counted
	}
	answered := t.accepted + len(t.standing) + t.wrongView + t.failed
	missing := len(t.view.Members) - answered
	if t.accepted+missing >= quorum {
		return undecided
	}
	switch {
	case missing > 0:
		return undecided // the reason is clearer with all answers
	case len(t.standing) > 0:
		return taken
	case t.wrongView > 0:
		return stale
	}
	return unreachable
}

// strongest returns the standing record that says most.
func (t *tally) strongest() Record {
	best := t.standing[0]
	for _, record := range t.standing[1:] {
		if record.State > best.State {
			best = record
		}
	}
	return best
}

// merge joins what the members of a sealed quorum held. Of one claim the newest
// state is kept. Where two claims of one key met, either may have counted with a
// member that was not reached: the key is unsettled.
func merge(held [][]Record) []Record {
	merged := map[string]Record{}
	var order []string
	for _, records := range held {
		for _, record := range records {
			known, found := merged[record.Key]
			switch {
			case !found:
				merged[record.Key] = record
				order = append(order, record.Key)
			case known.State == Completed:
			case record.State == Completed:
				merged[record.Key] = record
			case known.RequestID != record.RequestID:
				known.State = Indeterminate
				merged[record.Key] = known
			case record.State > known.State:
				merged[record.Key] = record
			}
		}
	}
	all := make([]Record, 0, len(order))
	for _, key := range order {
		all = append(all, merged[key])
	}
	return all
}
