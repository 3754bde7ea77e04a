package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tanagerroad/core/settings"
)

// TestSettingsAreDocumented checks that docs/OPERATIONS.md contains the generated
// settings tables.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), settings.Markdown()) {
		t.Errorf("docs/OPERATIONS.md does not contain the current settings tables; want:\n%s", settings.Markdown())
	}
}

// examples returns the paths of all example settings files.
func examples(tb testing.TB) []string {
	tb.Helper()
	files, err := filepath.Glob("../../examples/*/*-*.json")
	if err != nil || len(files) == 0 {
		tb.Fatalf("no examples: %v", err)
	}
	return files
}

func TestExamplesHaveNoFindings(t *testing.T) {
	for _, file := range examples(t) {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if findings := settings.Check(file, data); len(findings) > 0 {
			t.Error(findings)
		}
	}
}

// FuzzCheck checks that validation terminates for any input and that a file
// without findings has a role.
func FuzzCheck(f *testing.F) {
	for _, file := range examples(f)[:4] {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"role": "entry", "role": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(settings.Check("fuzz.json", data)) == 0 && settings.RoleOf(data) == "" {
			t.Errorf("no findings and no role in %q", data)
		}
	})
}
