// Package examples embeds the example settings trees of two deployments.
package examples

import (
	_ "embed"

	"github.com/finchspoke/finchspoke/settings"
)

//go:embed etiketa-nitra/settings.yaml
var etiketaNitra []byte

//go:embed andina/settings.yaml
var andina []byte

// Sources returns both settings files, which can be merged into one tree.
func Sources() []settings.Source {
	return []settings.Source{
		{Name: "examples/etiketa-nitra/settings.yaml", Data: etiketaNitra},
		{Name: "examples/andina/settings.yaml", Data: andina},
	}
}
