package table_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"tanagerroad/core/table"
)

// TestTables parses the two tables in each testdata/*.txtar file and compares the
// findings with those listed there, one on a line; valid tables have none.
func TestTables(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			parts := map[string][]byte{}
			for _, f := range archive.Files {
				parts[f.Name] = f.Data
			}
			_, findings := table.Parse("routes.json", parts["routes.json"], "pools.json", parts["pools.json"])
			got := ""
			if len(findings) > 0 {
				got = findings.Error() + "\n"
			}
			if want := string(parts["findings"]); got != want {
				t.Errorf("got findings\n%swant\n%s", got, want)
			}
		})
	}
}

// TestSchemasAgree checks that the published JSON schemas accept the example
// tables and reject malformed ones.
func TestSchemasAgree(t *testing.T) {
	for _, name := range []string{"routes", "pools"} {
		schema, err := jsonschema.NewCompiler().Compile("../../docs/" + name + ".schema.json")
		if err != nil {
			t.Fatal(err)
		}
		files, err := filepath.Glob("../../examples/*/" + name + ".json")
		if err != nil || len(files) == 0 {
			t.Fatalf("no examples: %v", err)
		}
		for _, file := range files {
			if err := validate(schema, file); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
		for _, invalid := range []string{`{}`, `{"` + name + `": [{"nmae": "x"}]}`, `{"` + name + `": [{"name": "X"}]}`, `[]`} {
			value, err := jsonschema.UnmarshalJSON(strings.NewReader(invalid))
			if err != nil {
				t.Fatal(err)
			}
			if schema.Validate(value) == nil {
				t.Errorf("%s.schema.json accepts the invalid table %s", name, invalid)
			}
		}
	}
}

func validate(schema *jsonschema.Schema, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return schema.Validate(value)
}

// FuzzParse checks that parsing terminates for any input and that in tables
// without findings every stage has a pool.
func FuzzParse(f *testing.F) {
	// The seeds are small, because the fuzzing engine spends too much time on large
	// ones. Other tests parse the example tables.
	f.Add([]byte(`{"routes": [{"name": "a", "deadline": "1s", "stages": [{"name": "s", "pool": "p", "after": ""}]}]}`), []byte(`{"pools": [{"name": "p", "kind": "service"}]}`))
	f.Add([]byte(`{"routes": [], "workspaces": [{"name": "w", "share": 1}]}`), []byte(`{"pools": [{"name": "m", "kind": "model-engine", "models": ["x"], "cost": 1}]}`))
	f.Add([]byte(`{"routes": [{"name": "a", "name": 1}]`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		tables, findings := table.Parse("routes.json", routes, "pools.json", pools)
		if len(findings) > 0 {
			return
		}
		for _, route := range tables.Routes {
			for _, stage := range route.Stages {
				if _, ok := tables.Pools[stage.Pool]; !ok {
					t.Errorf("stage %q refers to a pool that does not exist", stage.Name)
				}
			}
		}
	})
}
