package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/findings"
)

var updatePage = flag.Bool("update", false, "write docs/SETTINGS.md")

const (
	pagePath   = "../../docs/SETTINGS.md"
	pageHeader = `# Settings

Made from the code: ` + "`go test ./internal/settings -run TestPage -update`" + ` writes this page, CI checks it.
A setting is ` + "`required`" + ` where that is its default; those of ` + "`platform`" + ` and ` + "`operator`" + ` only without
` + "`gateway.store`" + `. Durations have a unit, as 700ms or 5s.

Limits that follow from settings, and why no client inside the limits of a configuration meets them while others do
not hold more than theirs ([design 0025](design/0025-clients-outside-the-limits.md)):

- Bytes of heads and bodies together: 0.3 of ` + "`gateway.memoryMegabytes` or `node.memoryMegabytes`" + `. A single
  request may have half of it, 21 MiB on the smallest machine (144 MB); the largest body of a configuration is 4 MiB,
  and counts three times as a job.
- Connections of callers: memory / 256 KiB, at most half of the descriptors that are not reserved (300, or a third of
  fewer); for the product's own interface at least ` + "`node.maxStreams`" + ` and 200 more. 576 on the smallest
  machine. Beyond them the one that has waited longest for its client ends, which callers may meet at any time, as an
  idle connection that is closed.
- Heads: ` + "`limits.maxHeaderBytes`" + ` of the configuration, 128 KiB where there is none.
- Heads end after ` + "`limits.headerTimeoutMs`" + `, idle connections after ` + "`limits.idleTimeoutMs`" + `, but not
  before 10 s and 2 min.
- A second without progress (16 KiB of a body, or a head) ends a request only while another finds no room.

| setting | type | default | finding if it is not accepted | meaning |
|---|---|---|---|---|
`
)

// pageRow describes one setting.
type pageRow struct {
	path string
	// index locates the field in Settings.
	index []int
	kind  reflect.Type
	doc   string
}

// documentedDefault matches the default that a doc comment names.
var documentedDefault = regexp.MustCompile(`default (?:is )?([0-9a-z]+)`)

// TestPage checks that docs/SETTINGS.md agrees with the settings, and that the doc comments agree with
// ApplyDefaults.
func TestPage(t *testing.T) {
	docs := fieldDocs(t)
	var defaults Settings
	defaults.ApplyDefaults()
	page := pageHeader
	for _, row := range pageRows(reflect.TypeFor[Settings](), "", nil, docs) {
		if row.doc == "" {
			t.Errorf("%s has no doc comment", row.path)
		}
		messages, required := row.findings()
		value := row.defaultValue(t, &defaults)
		if required {
			value = "required"
		}
		page += fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", row.path, typeName(row.kind), value, strings.Join(messages, "; "), row.doc)
	}
	if *updatePage {
		if err := os.WriteFile(pagePath, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	current, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(current) != page {
		t.Errorf("%s is out of date", pagePath)
	}
}

// pageRows returns the rows of all settings of a struct type, in the order of its fields.
func pageRows(structType reflect.Type, prefix string, index []int, docs map[string]string) []pageRow {
	var rows []pageRow
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		at := append(slices.Clone(index), i)
		if field.Type.Kind() == reflect.Struct {
			rows = append(rows, pageRows(field.Type, prefix+name+".", at, docs)...)
			continue
		}
		rows = append(rows, pageRow{path: prefix + name, index: at, kind: field.Type, doc: docs[structType.Name()+"."+field.Name]})
	}
	return rows
}

// defaultValue returns the default, from ApplyDefaults or else from the doc comment.
func (r *pageRow) defaultValue(t *testing.T, defaults *Settings) string {
	value := reflect.ValueOf(defaults).Elem().FieldByIndex(r.index)
	documented := documentedDefault.FindStringSubmatch(r.doc)
	switch {
	case value.IsZero() && documented == nil:
		return "–"
	case value.IsZero():
		return documented[1]
	}
	text := fmt.Sprint(value.Interface())
	if duration, ok := value.Interface().(v1.Duration); ok {
		text = time.Duration(duration).String()
	}
	if documented != nil && documented[1] != text {
		t.Errorf("%s: the doc comment has the default %s, the code %s", r.path, documented[1], text)
	}
	return text
}

// findings returns what Validate says about values that it does not accept, and whether it does not
// accept the setting unset.
func (r *pageRow) findings() (messages []string, required bool) {
	for _, store := range []string{"", "store:80"} {
		for i, probe := range r.probes() {
			var settings Settings
			settings.Gateway.Store = store
			target := reflect.ValueOf(&settings).Elem().FieldByIndex(r.index)
			if probe.IsValid() {
				target.Set(probe.Convert(target.Type()))
			}
			for _, finding := range settings.Validate() {
				if !r.concerns(finding) {
					continue
				}
				required = required || i == 0
				// The error of the operating system differs between systems.
				message, _, _ := strings.Cut(finding.Message, ": stat")
				if !slices.Contains(messages, message) {
					messages = append(messages, message)
				}
			}
		}
	}
	return messages, required
}

// probes returns values for the setting; the first one leaves it unset.
func (r *pageRow) probes() []reflect.Value {
	probes := []reflect.Value{{}}
	switch r.kind.Kind() {
	case reflect.String:
		probes = append(probes, reflect.ValueOf("x"), reflect.ValueOf("x:1"))
	case reflect.Float64:
		probes = append(probes, reflect.ValueOf(-1.0), reflect.ValueOf(0.5), reflect.ValueOf(2.0))
	case reflect.Int, reflect.Int64:
		probes = append(probes, reflect.ValueOf(-1))
	case reflect.Slice:
		probes = append(probes, reflect.ValueOf([]string{"x"}), reflect.ValueOf([]string{"x:1"}), reflect.ValueOf(make([]string, 100)))
	}
	return probes
}

// concerns reports whether a finding is about the setting or the group that it belongs to.
func (r *pageRow) concerns(finding findings.Finding) bool {
	return finding.Path == r.path || strings.HasPrefix(r.path, finding.Path+".")
}

// typeName returns the name of a type for users.
func typeName(kind reflect.Type) string {
	if kind == reflect.TypeFor[v1.Duration]() {
		return "duration"
	}
	switch kind.Kind() {
	case reflect.Int:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Map:
		return "map"
	case reflect.Slice:
		return "list of texts"
	default:
		return "text"
	}
}

// fieldDocs returns the doc comments of the fields of this package's structs, by Type.Field.
func fieldDocs(t *testing.T) map[string]string {
	docs := map[string]string{}
	for _, name := range []string{"settings.go", "gateway.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if structType, ok := spec.Type.(*ast.StructType); ok {
				addFieldDocs(docs, spec.Name.Name, structType)
			}
			return false
		})
	}
	return docs
}

// addFieldDocs adds the doc comments of the fields of a struct, each on one line.
func addFieldDocs(docs map[string]string, typeName string, structType *ast.StructType) {
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			docs[typeName+"."+name.Name] = tableCell(name.Name, field.Doc.Text())
		}
	}
}

// tableCell returns the doc comment of a field without its name, for a cell of a table.
func tableCell(name, doc string) string {
	text := strings.Join(strings.Fields(doc), " ")
	text = strings.TrimPrefix(text, name+" ")
	text = strings.TrimPrefix(text, "is ")
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + strings.ReplaceAll(text[1:], "|", "\\|")
}
