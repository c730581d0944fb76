package peer

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const kindTest Kind = 9

func listen(t *testing.T, session string) *Socket {
	t.Helper()
	socket, err := Listen("127.0.0.1:0", session)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = socket.Run()
		close(done)
	}()
	t.Cleanup(func() {
		_ = socket.Close()
		<-done
	})
	return socket
}

func TestSocket_DeliversMessagesAndCountsMalformed(t *testing.T) {
	a, b := listen(t, "a#1"), listen(t, "b#1")
	got := make(chan string, 1)
	b.Handle(kindTest, func(from string, _ *net.UDPAddr, body []byte) {
		var text string
		if err := cbor.Unmarshal(body, &text); err != nil {
			t.Error(err)
		}
		got <- from + " " + text
	})
	to, err := net.ResolveUDPAddr("udp4", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialUDP("udp4", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("no message")); err != nil {
		t.Fatal(err)
	}
	if err := a.Send(to, kindTest+1, "of a kind without a handler"); err != nil {
		t.Fatal(err)
	}
	if err := a.Send(to, kindTest, "hello"); err != nil {
		t.Fatal(err)
	}
	select {
	case text := <-got:
		if text != "a#1 hello" {
			t.Fatalf("got %q", text)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrived")
	}
	if _, received, malformed := b.Counts(); received != 3 || malformed != 2 {
		t.Fatalf("%d received, %d malformed", received, malformed)
	}
	if err := a.Send(to, kindTest, strings.Repeat("x", maxDatagram)); err == nil {
		t.Fatal("a message larger than a datagram was sent")
	}
}

func FuzzReceive(f *testing.F) {
	datagram, err := cbor.Marshal(Message{Kind: kindTest, From: "a#1", Body: []byte{0x61, 0x78}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		socket := &Socket{handlers: map[Kind]Handler{}}
		socket.Handle(kindTest, func(from string, _ *net.UDPAddr, _ []byte) {
			if from == "" {
				t.Fatal("a message without a sender was handled")
			}
		})
		socket.receive(nil, datagram)
	})
}

func TestSocket_HandlePanicsOnSecondHandler(t *testing.T) {
	socket, err := Listen("127.0.0.1:0", "a#1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	ignore := func(string, *net.UDPAddr, []byte) {}
	socket.Handle(KindRowsChanged, ignore)
	socket.Handle(KindReplicaFailures, ignore)
	defer func() {
		if recover() == nil {
			t.Error("a second handler of a kind was accepted")
		}
	}()
	socket.Handle(KindRowsChanged, ignore)
}
