package home

import (
	"context"
	"sync"
)

// mailbox is a queue between a producer that must not block and a sender. It has no limit
// of its own; the number of open requests bounds its length.
type mailbox[T any] struct {
	mutex  sync.Mutex
	items  []T
	signal chan struct{}
	closed bool
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

func (m *mailbox[T]) put(item T) {
	m.mutex.Lock()
	if !m.closed {
		m.items = append(m.items, item)
	}
	m.mutex.Unlock()
	m.wake()
}

func (m *mailbox[T]) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

func (m *mailbox[T]) close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
	m.wake()
}

// drainTo sends items in sequence until the mailbox is closed, ctx ends or a send fails.
func (m *mailbox[T]) drainTo(ctx context.Context, send func(T) error) error {
	for {
		m.mutex.Lock()
		items, closed := m.items, m.closed
		m.items = nil
		m.mutex.Unlock()
		for _, item := range items {
			if err := send(item); err != nil {
				return err
			}
		}
		if closed {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.signal:
		}
	}
}
