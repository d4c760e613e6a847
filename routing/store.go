package routing

import (
	"sync"
	"sync/atomic"
)

// Store holds the table in force in a process. The version never falls.
type Store struct {
	current   atomic.Pointer[Table]
	mutex     sync.Mutex
	listeners []func(*Table)
}

// Current returns the table in force; nil before the first.
func (s *Store) Current() *Table { return s.current.Load() }

// Version returns the version in force; zero before the first.
func (s *Store) Version() int64 {
	if table := s.Current(); table != nil {
		return table.Version
	}
	return 0
}

// Put takes a table into force if it is newer, and tells whether it was.
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

// Listen calls listener, under the store's lock, for each table from now on.
func (s *Store) Subscribe(listener func(*Table)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}
