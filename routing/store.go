package routing

import (
	"sync"
	"sync/atomic"
)

// Store holds the current table of a process. The version never decreases.
type Store struct {
	current   atomic.Pointer[Table]
	mutex     sync.Mutex
	listeners []func(*Table)
}

// Current returns the current table; nil before the first Put.
func (s *Store) Current() *Table { return s.current.Load() }

// Version returns the version of the current table; zero before the first Put.
func (s *Store) Version() int64 {
	if table := s.Current(); table != nil {
		return table.Version
	}
	return 0
}

// Put replaces the current table if the new one has a higher version, and reports whether it did.
func (s *Store) Put(table *Table) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.Current(); current != nil && table.Version <= current.Version {
		return false
	}
	s.current.Store(table)
	for _, listener := range s.listeners {
		listener(table)
	}
	return true
}

// Subscribe calls listener for each later table, while the store's lock is held.
func (s *Store) Subscribe(listener func(*Table)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}
