// Package crowd holds tests in which many clients at once exceed what a node allows a client to send or to
// keep open. Each test starts a node as a process of its own and checks that the process lives, that its
// memory and its descriptors stay within those of its machine, and that an ordinary request is answered.
package crowd
