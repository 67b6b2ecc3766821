package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the settings reference into docs/OPERATIONS.md")

const entryFile = `{
  // An entry of the first data centre.
  "id": "entry-1", "data_centre": "north",
  "http": {"listen": "127.0.0.1:7400"},
  "rpc": {"listen": "127.0.0.1:7401"},
  "peers": {"secret": "sixteen bytes or more"},
  "platform": {"table": "http://127.0.0.1:1", "objects": "http://127.0.0.1:2"},
  "operator_key_hashes": ["%064d"],
}`

func TestParseKeepsDefaultsAndSetsValues(t *testing.T) {
	got := DefaultEntry()
	text := strings.Replace(fmt.Sprintf(entryFile, 0), `"id"`, `"limits": {"idle": "3s"}, "id"`, 1)
	if err := Parse("entry.hujson", []byte(text), &got, (*Entry).Check); err != nil {
		t.Fatal(err)
	}
	if got.Limits.Idle != seconds(3) || got.Limits.BodyBytes != 1<<20 || got.RPC.Address() != "127.0.0.1:7401" {
		t.Errorf("got %+v", got)
	}
}

// Settings that a program writes must be readable, with null for lists.
func TestWrittenSettingsAreReadBack(t *testing.T) {
	want := DefaultEntry()
	if err := Parse("f", fmt.Appendf(nil, entryFile, 0), &want, nil); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Entry
	text = bytes.Replace(text, []byte("{"), []byte(`{"entries": null,`), 1)
	if err := Parse("f", text, &got, (*Entry).Check); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// An operator mistypes one thing in a valid file. Each error must be refused
// with its position, or a default would silently be in force.
func TestBadFilesAreRefusedWithPositions(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", `"id"`, `"idd"`, `f:3:3: idd: unknown key; want one of agent_scan, call_retention, config_poll, data_centre`},
		{"key of another case", `"id"`, `"Id"`, `f:3:3: Id: unknown key`},
		{"key twice", `"http"`, `"id": "x", "http"`, `f:4:3: id: the key stands here twice`},
		{"wrong type", `"entry-1"`, `7`, `f:3:9: id: want a string, got 7`},
		{"null", `"entry-1"`, `null`, `f:3:9: id: want a string, got null`},
		{"object for a value", `{"listen": "127.0.0.1:7400"}`, `"127.0.0.1:7400"`, `f:4:11: http: want an object with the keys listen`},
		{"number without unit", `"id"`, `"heartbeat": 5, "id"`, `f:3:16: heartbeat: want a duration with its unit, such as "250ms", got 5`},
		{"unknown unit", `"id"`, `"heartbeat": "5 sec", "id"`, `f:3:16: heartbeat: want a duration with its unit, such as "250ms", got "5 sec"`},
		{"duration out of range", `"id"`, `"heartbeat": "-5s", "id"`, `f:3:16: heartbeat: want above 0s, got -5s`},
		{"missing address", `{"listen": "127.0.0.1:7400"}`, `{}`, `f:4:11: http.listen: missing; want an IP address and port`},
		{"missing object", `"http": {"listen": "127.0.0.1:7400"},`, ``, `f:1:1: http.listen: missing`},
		{"name for an address", `127.0.0.1:7401`, `localhost:7401`, `f:5:21: rpc.listen: want an IP address and port`},
		{"address nobody reaches", `127.0.0.1:7401`, `0.0.0.0:7401`, `f:5:21: rpc.listen: want an address that other processes can reach`},
		{"port out of range", `:7401`, `:77401`, `f:5:21: rpc.listen: want an IP address and port`},
		{"URL without scheme", `http://127.0.0.1:2`, `127.0.0.1:2`, `f:7:58: platform.objects: want a URL`},
		{"short secret", `sixteen bytes or more`, `short`, `f:6:12: peers: want a secret of at least 16 bytes`},
		{"bad hash", `0000"`, `000G"`, `f:8:26: operator_key_hashes: want 64 lower-case hex digits`},
		{"no JSON", `"id": `, `"id" `, `f:3:8: `},
		{"cut file", `"]`, ``, `f:9:`},
		{"whole number too large", `"id"`, `"events": 99999999999999999999, "id"`, `f:3:13: events: want a whole number`},
		{"missing TLS file", `"id"`, `"tls": {"cert": "absent"}, "id"`, `f:3:19: tls.cert: want a readable file`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(fmt.Sprintf(entryFile, 0), c.from, c.to, 1)
			into := DefaultEntry()
			err := Parse("f", []byte(text), &into, (*Entry).Check)
			var refused *Error
			if !errors.As(err, &refused) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v\nwant %s", err, c.want)
			}
		})
	}
}

// FuzzParse checks that Parse does not panic and that a refusal's line is
// inside the text.
func FuzzParse(f *testing.F) {
	f.Add(fmt.Sprintf(entryFile, 0))
	f.Add(`{"limits": {"idle": [{}]}, "operator_key_hashes": [1]}`)
	f.Fuzz(func(t *testing.T, text string) {
		into := DefaultAgent()
		err := Parse("f", []byte(text), &into, nil)
		var refused *Error
		if err != nil && (!errors.As(err, &refused) || refused.Faults[0].Line > 1+strings.Count(text, "\n")) {
			t.Errorf("got %v", err)
		}
	})
}

// The reference in docs/OPERATIONS.md is generated from the declarations; run
// with -update after a change.
func TestReferenceMatchesTheCode(t *testing.T) {
	const begin, end = "<!-- settings reference: begin -->\n", "<!-- settings reference: end -->"
	page := filepath.Join("..", "..", "docs", "OPERATIONS.md")
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(text), begin)
	got, after, found := strings.Cut(rest, end)
	if !found {
		t.Fatal("the page has no markers for the reference")
	}
	comments := fieldComments(t)
	want := "\n### Entry\n\n" + referenceTable(t, comments, Keys(DefaultEntry())) +
		"\n### Agent\n\n" + referenceTable(t, comments, Keys(DefaultAgent())) + "\n"
	if *update {
		os.WriteFile(page, []byte(before+begin+want+end+after), 0o644)
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the page differs from the code; run with -update (-want +got):\n%s", diff)
	}
}

func referenceTable(t *testing.T, comments map[string]string, keys []Key) string {
	out := "| key | default | meaning |\n|---|---|---|\n"
	for _, k := range keys {
		comment := comments[k.Type+"."+k.Field]
		meaning, found := strings.CutPrefix(comment, k.Field+" is ")
		if !found {
			t.Errorf(`%s.%s: want a comment that begins with "%s is"`, k.Type, k.Field, k.Field)
		}
		value := k.Default
		if value != "" {
			value = "`" + value + "`"
		}
		out += fmt.Sprintf("| `%s` | %s | %s |\n", k.Path, value, meaning)
	}
	return out
}

func fieldComments(t *testing.T) map[string]string {
	out := make(map[string]string)
	for _, name := range []string{"common.go", "entry.go", "agent.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				for _, f := range s.Fields.List {
					out[spec.Name.Name+"."+f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
				}
			}
			return false
		})
	}
	return out
}
