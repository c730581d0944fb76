package quarantine

import "testing"

func TestWork_DistinguishesContents(t *testing.T) {
	base := Content{Caller: "c", Method: "POST", Host: "h", Target: "/t", Body: []byte("body")}
	same := base
	if base.Work() != same.Work() {
		t.Fatal("equal contents are different work")
	}
	others := map[string]Content{
		"caller": {Caller: "d", Method: "POST", Host: "h", Target: "/t", Body: []byte("body")},
		"method": {Caller: "c", Method: "PUT", Host: "h", Target: "/t", Body: []byte("body")},
		"host":   {Caller: "c", Method: "POST", Host: "i", Target: "/t", Body: []byte("body")},
		"target": {Caller: "c", Method: "POST", Host: "h", Target: "/u", Body: []byte("body")},
		"body":   {Caller: "c", Method: "POST", Host: "h", Target: "/t", Body: []byte("other")},
		"border": {Caller: "c", Method: "POST", Host: "h/", Target: "t", Body: []byte("body")},
	}
	for name, other := range others {
		if other.Work() == base.Work() {
			t.Errorf("contents with a different %s are the same work", name)
		}
	}
}

func TestParseWork_RoundTrip(t *testing.T) {
	content := Content{Body: []byte("x")}
	work := content.Work()
	if got, err := ParseWork(work.String()); err != nil || got != work {
		t.Fatalf("got %v, %v", got, err)
	}
	for _, bad := range []string{"", "zz", work.String() + "00"} {
		if _, err := ParseWork(bad); err == nil {
			t.Errorf("%q was parsed", bad)
		}
	}
}
