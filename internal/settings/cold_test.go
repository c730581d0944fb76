package settings

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

func TestValidate_NamesWhatIsWrongWithTheColdTolerance(t *testing.T) {
	for _, one := range []struct {
		cold  Cold
		place string
	}{
		{Cold{}, ""},
		{Cold{Over: 1.5, Slack: 5}, ""},
		{Cold{Over: 0.5}, "gateway.cold.over"},
		{Cold{Over: 1, Slack: -1}, "gateway.cold.slack"},
	} {
		var found findings.List
		(&Gateway{Store: "10.0.0.1:80", Cold: one.cold}).validate(&found)
		all := found.All()
		wrong := slices.ContainsFunc(all, func(f findings.Finding) bool { return f.Path == one.place })
		if one.place == "" && len(all) > 0 || one.place != "" && !wrong {
			t.Errorf("%+v: %v", one.cold, all)
		}
	}
}
