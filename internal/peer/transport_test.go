package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wheelhoist/wheelhoist/internal/tlsfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type greeting struct {
	_    struct{} `cbor:",toarray"`
	Text string
}

func listen(t *testing.T, options Options) *Transport {
	t.Helper()
	options.Address = "127.0.0.1:0"
	transport, err := Listen(options)
	if err != nil {
		t.Fatal(err)
	}
	transport.Handle(KindBatchNotice, func(_ context.Context, body []byte) (any, error) {
		var message greeting
		if err := Decode(body, &message); err != nil {
			return nil, err
		}
		if message.Text == "fail" {
			return nil, errors.New("asked to fail")
		}
		return greeting{Text: "hello " + message.Text}, nil
	})
	transport.Serve()
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func TestCall_AnswersAndFailures(t *testing.T) {
	a, b := listen(t, Options{}), listen(t, Options{})
	var answer greeting
	for range 3 { // the second and third use the idle connection
		if err := a.Call(t.Context(), b.Address(), KindBatchNotice, greeting{Text: "b"}, &answer); err != nil || answer.Text != "hello b" {
			t.Fatalf("answer %q, error %v", answer.Text, err)
		}
	}
	if err := a.Call(t.Context(), b.Address(), KindBatchNotice, greeting{Text: "fail"}, nil); !errors.Is(err, ErrRemote) {
		t.Fatalf("remote failure: %v", err)
	}
	if err := a.Call(t.Context(), b.Address(), KindConfigPush, nil, nil); !errors.Is(err, ErrRemote) {
		t.Fatalf("unknown kind: %v", err)
	}
	if err := a.Call(t.Context(), "127.0.0.1:1", KindBatchNotice, nil, nil); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("unreachable: %v", err)
	}
}

// A node of another cluster, at an address that was given on, is not listened to.
func TestCall_OtherCluster(t *testing.T) {
	ours, theirs := listen(t, Options{Cluster: ClusterID("a", "t")}), listen(t, Options{Cluster: ClusterID("b", "t")})
	if err := ours.Call(t.Context(), theirs.Address(), KindBatchNotice, greeting{Text: "x"}, nil); !errors.Is(err, ErrCluster) {
		t.Fatalf("error %v", err)
	}
	frame, err := encode(theirs.options.Cluster, KindBatchNotice, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(ours.options.Cluster, frame); !errors.Is(err, ErrCluster) {
		t.Fatalf("datagram: %v", err)
	}
}

// An idle connection that the peer closed when it restarted is not an error.
func TestCall_PeerRestarted(t *testing.T) {
	a := listen(t, Options{})
	b, err := Listen(Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	echo := func(context.Context, []byte) (any, error) { return greeting{Text: "x"}, nil }
	b.Handle(KindBatchNotice, echo)
	b.Serve()
	address := b.Address()
	if err := a.Call(t.Context(), address, KindBatchNotice, nil, nil); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := Listen(Options{Address: address})
	if err != nil {
		t.Fatal(err)
	}
	again.Handle(KindBatchNotice, echo)
	again.Serve()
	t.Cleanup(func() { _ = again.Close() })
	if err := a.Call(t.Context(), address, KindBatchNotice, nil, nil); err != nil {
		t.Fatal(err)
	}
}

func TestDecode_OtherVersionIsRefused(t *testing.T) {
	frame, err := encode(0, KindBatchNotice, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	frame[1] = ProtocolVersion + 1 // the version is the first item of the array
	if _, err := decode(0, frame); !errors.Is(err, ErrVersion) {
		t.Fatalf("error %v", err)
	}
}

func TestOpen_ForgedDatagramIsRefused(t *testing.T) {
	key := []byte("01234567890123456789012345678901")
	datagram := seal(key, []byte("message"))
	if frame, ok := open(key, datagram); !ok || string(frame) != "message" {
		t.Fatal("own datagram refused")
	}
	datagram[0] ^= 1
	if _, ok := open(key, datagram); ok {
		t.Fatal("changed datagram accepted")
	}
	if _, ok := open(key, []byte("short")); ok {
		t.Fatal("datagram without tag accepted")
	}
}

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	directory   string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	made := &authority{certificate: certificate, key: key, directory: t.TempDir()}
	made.write(t, "ca.pem", "CERTIFICATE", der)
	return made
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.directory, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// issue returns a loader for a new certificate that ends at a time.
func (a *authority) issue(t *testing.T, name string, end time.Time, trust *authority) *tlsfile.Loader {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: end,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	loader, err := tlsfile.NewLoader(tlsfile.Files{
		Certificate: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "EC PRIVATE KEY", keyDER),
		Authority:   filepath.Join(trust.directory, "ca.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return loader
}

func TestCall_MutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	refusals := make(chan string, 8)
	server := listen(t, Options{
		TLS:     ours.issue(t, "server", valid, ours).Peer(),
		Refused: func(_ string, err error) { refusals <- err.Error() },
	})
	good := listen(t, Options{TLS: ours.issue(t, "good", valid, ours).Peer()})
	var answer greeting
	if err := good.Call(t.Context(), server.Address(), KindBatchNotice, greeting{Text: "x"}, &answer); err != nil {
		t.Fatal(err)
	}
	cases := map[string]*tlsfile.Loader{
		"expired":  ours.issue(t, "late", expired, ours),
		"stranger": theirs.issue(t, "stranger", valid, ours),
	}
	for name, loader := range cases {
		bad := listen(t, Options{TLS: loader.Peer()})
		if err := bad.Call(t.Context(), server.Address(), KindBatchNotice, greeting{Text: "x"}, &answer); err == nil {
			t.Errorf("%s peer accepted", name)
		}
	}
	plain := listen(t, Options{})
	if err := plain.Call(t.Context(), server.Address(), KindBatchNotice, greeting{Text: "x"}, &answer); err == nil {
		t.Error("peer without TLS accepted")
	}
	// The server names the certificate it refuses and the reason.
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	close(refusals)
	for text := range refusals {
		if strings.Contains(text, `"late" refused`) && strings.Contains(text, "expired") {
			return
		}
	}
	t.Error("no finding names the expired certificate")
}

func FuzzDecode(f *testing.F) {
	frame, _ := encode(0, KindBatchNotice, "", greeting{Text: "x"})
	f.Add(frame)
	f.Add([]byte{0x85, 1, 2})
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := decode(0, frame)
		if err == nil && message.Version != ProtocolVersion {
			t.Fatal("message of another version accepted")
		}
		var target greeting
		_ = Decode(message.Body, &target)
	})
}
