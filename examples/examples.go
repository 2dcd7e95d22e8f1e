// Package examples embeds the site configurations of the two deployments that
// the demo and the experiments run.
package examples

import _ "embed"

// Kavango is the site configuration of a registry of well records.
//
//go:embed kavango.jsonc
var Kavango []byte

// Urbion is the site configuration of a maker of garden offices.
//
//go:embed urbion.jsonc
var Urbion []byte
