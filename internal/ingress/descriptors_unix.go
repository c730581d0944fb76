//go:build unix

package ingress

import (
	"math"
	"syscall"
)

// processDescriptors returns the limit of the process; 0 if unknown.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
