package findings

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is a line and column in a source, both starting at 1; zero if not known.
type Position struct {
	Line   int
	Column int
}

// Document is a YAML document that can locate its values by path.
type Document struct {
	file      string
	node      ast.Node
	positions map[string]Position
}

// ParseYAML parses the documents of a source. Empty documents are omitted. A syntax error is
// returned as *Error.
func ParseYAML(file string, source []byte) ([]Document, error) {
	parsed, err := parser.ParseBytes(source, 0)
	if err != nil {
		return nil, &Error{Findings: []Finding{syntaxFinding(file, err)}}
	}
	var documents []Document
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType {
			continue
		}
		document := Document{file: file, node: doc.Body, positions: map[string]Position{}}
		document.index("", doc.Body)
		documents = append(documents, document)
	}
	return documents, nil
}

// syntaxFinding converts a parser error to a finding, with its position if known.
func syntaxFinding(file string, err error) Finding {
	finding := Finding{File: file, Message: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		finding.Message = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			finding.Line, finding.Column = token.Position.Line, token.Position.Column
		}
	}
	return finding
}

// index records the positions of node and of all values in it. For an entry of a mapping the
// position is that of its key.
func (d *Document) index(path string, node ast.Node) {
	token := node.GetToken()
	if _, known := d.positions[path]; !known && token != nil {
		d.positions[path] = Position{Line: token.Position.Line, Column: token.Position.Column}
	}
	switch typed := node.(type) {
	case *ast.MappingNode:
		for _, entry := range typed.Values {
			d.indexEntry(path, entry)
		}
	case *ast.MappingValueNode:
		d.indexEntry(path, typed)
	case *ast.SequenceNode:
		for i, value := range typed.Values {
			d.index(path+"["+strconv.Itoa(i)+"]", value)
		}
	}
}

// indexEntry records the position of a mapping entry and of the values in it.
func (d *Document) indexEntry(path string, entry *ast.MappingValueNode) {
	child := join(path, entry.Key.String())
	position := entry.Key.GetToken().Position
	d.positions[child] = Position{Line: position.Line, Column: position.Column}
	d.index(child, entry.Value)
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Locate returns copies of found with the file, line and column of their paths. A path that is not
// in the source gets the position of its nearest parent.
func (d *Document) Locate(found []Finding) []Finding {
	located := make([]Finding, len(found))
	for i, finding := range found {
		finding.File = d.file
		position := d.nearestPosition(finding.Path)
		finding.Line, finding.Column = position.Line, position.Column
		located[i] = finding
	}
	return located
}

// nearestPosition returns the position of path, or of its nearest parent in the document.
func (d *Document) nearestPosition(path string) Position {
	for {
		if position, ok := d.positions[path]; ok {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.positions[""]
		}
		path = path[:cut]
	}
}

// JSON converts the document to JSON.
func (d *Document) JSON() ([]byte, error) {
	return yaml.YAMLToJSON([]byte(d.node.String()))
}

// Decode decodes the document into target, a pointer to a struct with json tags. It returns located
// findings for unknown keys and for the first value of the wrong type.
func (d *Document) Decode(target any) []Finding {
	source, err := d.JSON()
	if err != nil {
		return d.Locate([]Finding{{Message: err.Error()}})
	}
	return d.Locate(DecodeJSON(source, target))
}

// DecodeJSON decodes JSON into target, a pointer to a struct. It returns findings for all unknown
// keys and for the first value of the wrong type, each with its path.
func DecodeJSON(source []byte, target any) []Finding {
	var found List
	var generic any
	if err := json.Unmarshal(source, &generic); err != nil {
		found.Add("", "%v", err)
		return found.All()
	}
	unknownKeys(&found, "", generic, reflect.TypeOf(target).Elem())
	err := json.NewDecoder(bytes.NewReader(source)).Decode(target)
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		found.Add(mismatch.Field, "must be %s, not %s", typeName(mismatch.Type), mismatch.Value)
	case err != nil:
		found.Add("", "%v", err)
	}
	return found.All()
}

var rawMessage = reflect.TypeOf(json.RawMessage(nil))

// typeName returns the name of a type for messages.
func typeName(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a mapping"
	default:
		return typ.Kind().String()
	}
}

// unknownKeys adds a finding for each key in value that typ has no field for. Types with their own
// JSON decoding are skipped.
func unknownKeys(found *List, path string, value any, typ reflect.Type) {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ == rawMessage || reflect.PointerTo(typ).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return
	}
	switch typed := value.(type) {
	case map[string]any:
		if typ.Kind() != reflect.Struct {
			return
		}
		fields := jsonFields(typ)
		for key, child := range typed {
			field, ok := fields[key]
			if !ok {
				found.Add(join(path, key), "unknown key")
				continue
			}
			unknownKeys(found, join(path, key), child, field)
		}
	case []any:
		if typ.Kind() != reflect.Slice {
			return
		}
		for i, child := range typed {
			unknownKeys(found, path+"["+strconv.Itoa(i)+"]", child, typ.Elem())
		}
	}
}

// jsonFields returns the field types of a struct by JSON name, including those of embedded structs.
func jsonFields(typ reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" {
			for inner, innerType := range jsonFields(field.Type) {
				fields[inner] = innerType
			}
			continue
		}
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}
