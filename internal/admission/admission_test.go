package admission

import (
	"errors"
	"testing"
	"time"
)

func fullShare(string) float64 { return 1 }

func TestAdmit_Limits(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name   string
		limits Limits
		reason Reason
	}{
		{"request rate", Limits{RequestsPerSecond: 2}, ReasonRequestRate},
		{"token rate", Limits{TokensPerSecond: 20}, ReasonTokenRate},
		{"concurrency", Limits{Concurrency: 2}, ReasonConcurrency},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := NewController(fullShare)
			for range 2 {
				if _, err := controller.Admit("a", test.limits, 10, now); err != nil {
					t.Fatal(err)
				}
			}
			_, err := controller.Admit("a", test.limits, 10, now)
			var refusal *RefusalError
			if !errors.As(err, &refusal) || refusal.Reason != test.reason || refusal.RetryAfter <= 0 {
				t.Fatalf("error %v, want %s with a retry delay", err, test.reason)
			}
			if _, err := controller.Admit("b", test.limits, 10, now); err != nil {
				t.Fatalf("another tenant refused: %v", err)
			}
		})
	}
}

// TestAdmit_ReleaseFreesOnce checks that releasing a ticket twice frees one request only.
func TestAdmit_ReleaseFreesOnce(t *testing.T) {
	controller := NewController(fullShare)
	limits := Limits{Concurrency: 1}
	now := time.Unix(100, 0)
	ticket, err := controller.Admit("a", limits, 1, now)
	if err != nil {
		t.Fatal(err)
	}
	ticket.Release()
	ticket.Release()
	if _, err := controller.Admit("a", limits, 1, now); err != nil {
		t.Fatal(err)
	}
	if _, err := controller.Admit("a", limits, 1, now); err == nil {
		t.Fatal("second release freed a second request")
	}
}

// TestCheckOverload_RefusesHeavyTenantFirst checks that a heavy tenant is refused at a wait at which
// other tenants are still admitted.
func TestCheckOverload_RefusesHeavyTenantFirst(t *testing.T) {
	controller := NewController(fullShare)
	now := time.Unix(100, 0)
	for i := range 100 {
		name := "heavy"
		if i%10 == 0 {
			name = "light"
		}
		if _, err := controller.Admit(name, Limits{}, 1, now); err != nil {
			t.Fatal(err)
		}
	}
	maxWait, predictedWait := 2*time.Second, 1500*time.Millisecond
	if err := controller.CheckOverload("heavy", predictedWait, maxWait, now); err == nil {
		t.Error("heavy tenant admitted")
	}
	if err := controller.CheckOverload("light", predictedWait, maxWait, now); err != nil {
		t.Errorf("light tenant refused: %v", err)
	}
}
