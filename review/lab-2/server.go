//go:build linux

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// serverMain is the process of a model server. If version is empty its answers have neither a length nor chunks, else
// chunks, and the version in each event.
func serverMain(address, id, version string, events, eventMs, slots int) int {
	server := &standin.Server{
		ID: id, Version: version, Events: events, EventTime: time.Duration(eventMs) * time.Millisecond, Slots: slots, Unframed: version == "",
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	check((&http.Server{Handler: server, ReadHeaderTimeout: 15 * time.Second}).Serve(listener))
	return 0
}

// serverProcess is a model server in a process of its own, behind a link that can be cut.
type serverProcess struct {
	lab         *lab
	id, address string
	// version is the software version; empty if it reports none, nor when it started.
	version         string
	started         time.Time
	zone            string
	events, eventMs int
	slots           int
	link            *link
	command         *exec.Cmd
}

func (s *serverProcess) start() {
	program, err := os.Executable()
	check(err)
	s.command = exec.Command(program, "server", s.address, s.id, s.version, strconv.Itoa(s.events), strconv.Itoa(s.eventMs), strconv.Itoa(s.slots))
	s.command.Stderr = os.Stderr
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.started = time.Now()
	check(s.command.Start())
	for end := time.Now().Add(startLimit); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", s.address, time.Second)
		if err == nil {
			_ = conn.Close()
			return
		}
		if time.Now().After(end) {
			panic("a server does not listen")
		}
	}
}

// enlist writes the row of the server, as it does itself from its start on.
func (s *serverProcess) enlist() {
	entry := standin.Entry{Address: s.link.address, Zone: s.zone, Slots: s.slots}
	if s.version != "" {
		entry.Version, entry.Started = s.version, s.started
	}
	s.lab.store.Put("servers", s.id, entry.Row())
}

// kill ends the process.
func (s *serverProcess) kill() {
	_ = s.command.Process.Kill()
	_ = s.command.Wait()
}

// link passes bytes on between callers and a server. While it is cut, it holds them back.
type link struct {
	address, to string

	mu   sync.Mutex
	open chan struct{}
}

func newLink(to string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &link{address: listener.Addr().String(), to: to, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

// awaitOpen waits while the link is cut.
func (l *link) awaitOpen() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) pass(caller *net.TCPConn) {
	l.awaitOpen()
	dialled, err := net.Dial("tcp", l.to)
	if err != nil {
		// As a dead port does.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := dialled.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, caller) })
	both.Go(func() { l.copy(caller, server) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// copy passes one direction on, with its end or its reset.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitOpen()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
		} else {
			_ = to.SetLinger(0)
			_ = to.Close()
		}
		return
	}
}
