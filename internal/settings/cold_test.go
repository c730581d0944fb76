package settings

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

func TestValidate_ColdTolerance(t *testing.T) {
	for _, test := range []struct {
		cold Cold
		path string
	}{
		{Cold{}, ""},
		{Cold{Over: 1.5, Slack: 5}, ""},
		{Cold{Over: 0.5}, "gateway.cold.over"},
		{Cold{Over: 1, Slack: -1}, "gateway.cold.slack"},
	} {
		var found findings.List
		(&Gateway{Store: "10.0.0.1:80", Cold: test.cold}).validate(&found)
		all := found.All()
		reported := slices.ContainsFunc(all, func(f findings.Finding) bool { return f.Path == test.path })
		if test.path == "" && len(all) > 0 || test.path != "" && !reported {
			t.Errorf("%+v: %v", test.cold, all)
		}
	}
}
