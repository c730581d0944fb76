package port

import (
	"io"
	"net"
	"strconv"
)

// reserve prevents other processes in the same network namespace from allocating port until the
// result is closed or this process exits. It listens on an abstract Unix socket, whose name can be
// bound by only one process of the namespace at a time.
func reserve(port int) (io.Closer, error) {
	return net.Listen("unix", "@wheelhoist-port-"+strconv.Itoa(port))
}
