package settings

import (
	"sync"
	"time"
)

// Revision is one accepted state of the settings.
type Revision struct {
	Number      uint64
	OperationID string
	Author      string
	AppliedAt   time.Time
	YAML        []byte // canonical document
	Tree        *Tree
}

// Store keeps the newest accepted revision in force. It never goes back.
type Store struct {
	mutex     sync.RWMutex
	current   *Revision
	listeners []func(*Revision)
}

// Current returns the revision in force, or nil before the first.
func (s *Store) Current() *Revision {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.current
}

// Number returns the number of the revision in force; zero before the first.
func (s *Store) Number() uint64 {
	if current := s.Current(); current != nil {
		return current.Number
	}
	return 0
}

// Listen registers a function to call after each advance.
func (s *Store) Subscribe(listener func(*Revision)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Advance puts a revision in force if it is newer, and tells whether it was.
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
