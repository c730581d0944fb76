package engine

import (
	"encoding/json"
	"strings"

	"github.com/wheelhoist/wheelhoist/api/openai"
)

// AssembleAnswer builds the complete JSON answer of a batch item from the events rendered by a
// Backend. joined holds their data fields, one per line.
func AssembleAnswer(joined, path string) (json.RawMessage, error) {
	var text strings.Builder
	var last openai.Completion
	for line := range strings.SplitSeq(joined, "\n") {
		if !strings.HasPrefix(line, `"`) {
			if err := json.Unmarshal([]byte(line), &last); err != nil {
				return nil, Error.Wrap(err)
			}
			continue
		}
		var token string
		if err := json.Unmarshal([]byte(line), &token); err != nil {
			return nil, Error.Wrap(err)
		}
		text.WriteString(token)
	}
	body, err := json.Marshal(openai.WholeAnswer(last, text.String(), path))
	return body, Error.Wrap(err)
}
