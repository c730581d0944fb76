package batch

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// memoryObjects is an object store in memory.
type memoryObjects struct{ objects map[string]string }

func (m *memoryObjects) Put(_ context.Context, key string, body []byte) error {
	m.objects[key] = string(body)
	return nil
}

func (m *memoryObjects) Get(_ context.Context, key string) (io.ReadCloser, error) {
	body, ok := m.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return io.NopCloser(strings.NewReader(body)), nil
}

func (m *memoryObjects) Delete(_ context.Context, key string) error {
	delete(m.objects, key)
	return nil
}

// acceptingTable accepts every commit and stores nothing.
type acceptingTable struct{}

func (acceptingTable) Get(context.Context, table.Key) (table.Row, error) {
	return table.Row{}, table.ErrNotFound
}

func (acceptingTable) List(context.Context, string, string, int) ([]table.Row, error) {
	return nil, nil
}

func (acceptingTable) Commit(context.Context, string, ...table.Write) ([]uint64, error) {
	return nil, nil
}

const validLine = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"hi"}]}}`

func TestUpload_Findings(t *testing.T) {
	cases := []struct {
		name, content, code string
		line                int
	}{
		{"broken JSON", validLine + "\n{\"custom_id\":", codeInvalidJSON, 2},
		{"duplicate id", validLine + "\n" + validLine + "\n", codeDuplicateID, 2},
		{"no id", strings.Replace(validLine, `"a"`, `""`, 1), codeInvalidItem, 1},
		{"wrong method", strings.Replace(validLine, "POST", "GET", 1), codeInvalidItem, 1},
		{"no model", strings.Replace(validLine, `"m"`, `""`, 1), codeInvalidItem, 1},
		{"empty", "\n\n", codeEmptyFile, 0},
		{"too long", validLine + "\n" + strings.Repeat("x", MaxLineBytes+1) + "\n", codeLineTooLong, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			service := &Service{Table: acceptingTable{}, Objects: &memoryObjects{objects: map[string]string{}}}
			record, err := service.Upload(t.Context(), "tenant", "f", strings.NewReader(test.content))
			if err != nil {
				t.Fatal(err)
			}
			if len(record.Findings) != 1 || record.Findings[0].Code != test.code || record.Findings[0].Line != test.line {
				t.Fatalf("findings %+v, want one %s on line %d", record.Findings, test.code, test.line)
			}
		})
	}
}

func FuzzParseItem(f *testing.F) {
	f.Add([]byte(validLine))
	f.Add([]byte(`{"custom_id":1}`))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, line []byte) {
		item, problem := ParseItem(line)
		if problem == nil && (item.CustomID == "" || len(item.Body) == 0) {
			t.Fatalf("accepted an item without custom_id or body: %q", line)
		}
	})
}
