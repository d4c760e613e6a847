package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/settings"
)

// largeTree returns the YAML of a tree of models with four adapters each.
func largeTree(models int) []byte {
	var text strings.Builder
	head, _, _ := strings.Cut(baseYAML, "branches:")
	text.WriteString(head + "branches:\n  - name: root\n    models:\n")
	for number := range models {
		fmt.Fprintf(&text, "      - name: model-%04d\n        service: lm\n        version: \"1\"\n        accelerators: 1\n        memory: 6GiB\n        adapters:\n", number)
		for adapter := range 4 {
			fmt.Fprintf(&text, "          - name: model-%04d.adapter-%d\n", number, adapter)
		}
	}
	return []byte(text.String())
}

// BenchmarkDecodeRevision measures the decoding of fetched revisions of different
// sizes.
func BenchmarkDecodeRevision(b *testing.B) {
	for _, models := range []int{110, 220, 440, 880} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			text := largeTree(models)
			tree, err := settings.Parse(settings.Source{Name: "large", Data: text})
			require.NoError(b, err)
			record := settings.Encode(&settings.Revision{Number: 1, YAML: text, Tree: tree})
			b.ReportAllocs()
			b.ReportMetric(float64(len(record.Compressed)), "compressed-B")
			for b.Loop() {
				if _, err := settings.Decode(record); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
