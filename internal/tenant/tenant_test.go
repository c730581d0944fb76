package tenant

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

func TestBearerKey(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		key    string
	}{
		{"usual", []string{"Bearer k1"}, "k1"},
		{"scheme in another case", []string{"bearer k1"}, "k1"},
		{"more blanks", []string{"Bearer   k1 "}, "k1"},
		{"none", nil, ""},
		{"two", []string{"Bearer k1", "Bearer k2"}, ""},
		{"two in one", []string{"Bearer k1, Bearer k2"}, ""},
		{"another scheme", []string{"Basic azE="}, ""},
		{"no key", []string{"Bearer "}, ""},
		{"scheme only", []string{"Bearer"}, ""},
		{"ten kilobytes", []string{"Bearer " + strings.Repeat("k", 10<<10)}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			key, err := BearerKey(http.Header{headerAuthorization: test.values})
			if key != test.key || (key == "") != errors.Is(err, ErrNoKey) {
				t.Fatalf("got %q, %v, want %q", key, err, test.key)
			}
		})
	}
}

func TestDirectory(t *testing.T) {
	var directory Directory[int]
	if _, ok := directory.Lookup(""); ok {
		t.Error("empty directory contains a key")
	}
	if !directory.Add(HashKey("a"), 1) || !directory.Add(HashKey("b"), 1) || directory.Add(HashKey("a"), 2) {
		t.Error("Add reported a wrong result for a new or an existing key")
	}
	if value, ok := directory.Lookup("a"); !ok || value != 2 {
		t.Errorf("Lookup = %d, %v, want 2, true", value, ok)
	}
	if _, ok := directory.Lookup("c"); ok {
		t.Error("unknown key found")
	}
}

func TestParseHash(t *testing.T) {
	want := HashKey("k")
	for _, text := range []string{"", "00", "zz"} {
		if _, err := ParseHash(text); err == nil {
			t.Errorf("ParseHash(%q) succeeded, want an error", text)
		}
	}
	got, err := ParseHash("8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a")
	if err != nil || got != want {
		t.Errorf("got %x, %v, want %x", got, err, want)
	}
}
