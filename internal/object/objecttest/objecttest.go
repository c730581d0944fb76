// Package objecttest provides an in-memory object store for tests.
package objecttest

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/wheelhoist/wheelhoist/internal/object"
)

// Store is an in-memory object.Store. The zero value is an empty store. It is safe for concurrent
// use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
}

var _ object.Store = (*Store)(nil)

// Put implements object.Store.
func (s *Store) Put(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[key] = bytes.Clone(body)
	return nil
}

// Get implements object.Store.
func (s *Store) Get(_ context.Context, key string) (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

// Delete implements object.Store.
func (s *Store) Delete(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

// Len returns the number of objects.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}
