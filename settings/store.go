package settings

import (
	"sync"
	"time"
)

// Revision is an accepted version of the settings.
type Revision struct {
	Number      uint64
	OperationID string
	Author      string
	AppliedAt   time.Time
	YAML        []byte // canonical document
	Tree        *Tree
}

// Store holds the newest accepted revision. It never returns to an older one.
type Store struct {
	mutex     sync.RWMutex
	current   *Revision
	listeners []func(*Revision)
}

// Current returns the revision in effect, or nil before the first.
func (s *Store) Current() *Revision {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.current
}

// Number returns the number of the revision in effect, or zero before the first.
func (s *Store) Number() uint64 {
	if current := s.Current(); current != nil {
		return current.Number
	}
	return 0
}

// Subscribe registers a function to call after each advance.
func (s *Store) Subscribe(listener func(*Revision)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Advance makes a revision effective if it is newer and reports whether it was.
func (s *Store) Advance(revision *Revision) bool {
	s.mutex.Lock()
	if s.current != nil && revision.Number <= s.current.Number {
		s.mutex.Unlock()
		return false
	}
	s.current = revision
	listeners := s.listeners
	s.mutex.Unlock()
	for _, listener := range listeners {
		listener(revision)
	}
	return true
}
