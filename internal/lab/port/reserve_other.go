//go:build !linux

package port

import "io"

// reserve does nothing on systems without abstract Unix sockets. There a port is only checked for
// listeners before it is allocated.
func reserve(int) (io.Closer, error) { return noReservation{}, nil }

type noReservation struct{}

func (noReservation) Close() error { return nil }
