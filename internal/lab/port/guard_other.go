//go:build !linux

package port

import "io"

// guard keeps nothing where the kernel has no names of the network namespace; there
// a port is only looked at before it is given out.
func guard(int) (io.Closer, error) { return unguarded{}, nil }

type unguarded struct{}

func (unguarded) Close() error { return nil }
