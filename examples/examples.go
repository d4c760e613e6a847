// Package examples holds the settings trees of the two deployments that
// finchspoke was first built for, at their true sizes.
package examples

import (
	_ "embed"

	"github.com/finchspoke/finchspoke/settings"
)

//go:embed etiketa-nitra/settings.yaml
var etiketaNitra []byte

//go:embed andina/settings.yaml
var andina []byte

// Sources returns both trees; they form one tree together.
func Sources() []settings.Source {
	return []settings.Source{
		{Name: "examples/etiketa-nitra/settings.yaml", Data: etiketaNitra},
		{Name: "examples/andina/settings.yaml", Data: andina},
	}
}
