package port

import (
	"io"
	"net"
	"strconv"
)

// reserve keeps a port from the choice of other processes on the same loopback
// interface, until it is closed or this process ends. It is a socket with a name of
// the network namespace, which the kernel gives to one process at a time.
func reserve(port int) (io.Closer, error) {
	return net.Listen("unix", "@wheelhoist-port-"+strconv.Itoa(port))
}
