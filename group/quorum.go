package group

// tally counts the members' responses to one claim or lookup.
type tally struct {
	view      View
	accepted  int
	existing  []Record
	wrongView int
	failed    int // calls without a response: the member may or may not have stored the claim
}

// decision is the result of a tally.
type decision int

const (
	undecided decision = iota
	// committed means that a write quorum stores the claim; no other can be committed.
	committed
	// conflicting means that another record of the key prevents the claim.
	conflicting
	// staleView means that members no longer serve the view.
	staleView
	// unreachable means that too few members responded.
	unreachable
)

func (t *tally) add(verdict Verdict, existing Record, err error) {
	switch {
	case err != nil:
		t.failed++
	case verdict == Accepted:
		t.accepted++
	case verdict == Standing:
		t.existing = append(t.existing, existing)
	default:
		t.wrongView++
	}
}

// decide returns the result as soon as outstanding responses cannot change it.
func (t *tally) decide() decision {
	quorum := t.view.writeQuorum()
	if t.accepted >= quorum {
		return committed
	}
	answered := t.accepted + len(t.existing) + t.wrongView + t.failed
	outstanding := len(t.view.Members) - answered
	if t.accepted+outstanding >= quorum {
		return undecided
	}
	switch {
	case outstanding > 0:
		return undecided // the remaining responses determine the reason
	case len(t.existing) > 0:
		return conflicting
	case t.wrongView > 0:
		return staleView
	}
	return unreachable
}

// mostAdvanced returns the existing record with the highest state.
func (t *tally) mostAdvanced() Record {
	latest := t.existing[0]
	for _, record := range t.existing[1:] {
		if record.State > latest.State {
			latest = record
		}
	}
	return latest
}

// mergeClaims merges the records of a sealed quorum and keeps the newest state of each
// claim. If two requests claimed a key, either may have been committed with a member
// that did not respond, so the key becomes Indeterminate.
func mergeClaims(recordSets [][]Record) []Record {
	merged := map[string]Record{}
	var order []string
	for _, records := range recordSets {
		for _, record := range records {
			existing, found := merged[record.Key]
			switch {
			case !found:
				merged[record.Key] = record
				order = append(order, record.Key)
			case existing.State == Completed:
			case record.State == Completed:
				merged[record.Key] = record
			case existing.RequestID != record.RequestID:
				existing.State = Indeterminate
				merged[record.Key] = existing
			case record.State > existing.State:
				merged[record.Key] = record
			}
		}
	}
	claims := make([]Record, 0, len(order))
	for _, key := range order {
		claims = append(claims, merged[key])
	}
	return claims
}
