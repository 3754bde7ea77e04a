package event_test

import (
	"os"
	"strings"
	"testing"

	"tanagerroad/core/event"
)

// TestCatalogueIsDocumented checks that docs/EVENTS.md contains the table of all
// events.
func TestCatalogueIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), event.Markdown()) {
		t.Errorf("docs/EVENTS.md does not contain the current table of events:\n%s", event.Markdown())
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	seen := map[any]bool{}
	for _, e := range event.All() {
		if seen[e.Number] || seen[e.Name] {
			t.Errorf("event %d %s: its number or name is used twice", e.Number, e.Name)
		}
		seen[e.Number], seen[e.Name] = true, true
	}
}
