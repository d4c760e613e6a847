package quarantine

import (
	"math/bits"
	"time"
)

const (
	// popularityWindow is the time after which counts of begun answers are dropped. They are kept up to twice as long.
	popularityWindow = 30 * time.Second
	// maxPopularParts bounds the parts counted in one window.
	maxPopularParts = 4096
)

// popularity counts the answers that began lately, by part of their prompts. Of the parts that were at a crash, a rare
// one explains it better than one that is at most replicas at any time.
type popularity struct {
	current, previous map[PartHash]int
	startedAt         time.Time // of the current window
}

func (p *popularity) add(parts []PartHash, now time.Time) {
	if p.current == nil || now.Sub(p.startedAt) >= popularityWindow || len(p.current) >= maxPopularParts {
		p.previous, p.current, p.startedAt = p.current, map[PartHash]int{}, now
	}
	for _, part := range parts {
		p.current[part]++
	}
}

// class returns the order of magnitude of a part's count to base 2; zero if no answer with the part began lately.
func (p *popularity) class(part PartHash, now time.Time) uint8 {
	count := 0
	age := now.Sub(p.startedAt)
	if age < 2*popularityWindow {
		count += p.current[part]
	}
	if age < popularityWindow {
		count += p.previous[part]
	}
	return uint8(bits.Len(uint(count)))
}
