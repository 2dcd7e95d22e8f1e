// Package examples embeds the site configurations of the two deployments that the
// demo and the experiments use.
package examples

import _ "embed"

// Kavango is the site configuration of a registry of records of wells.
//
//go:embed kavango.jsonc
var Kavango []byte

// Urbion is the site configuration of a manufacturer of garden offices.
//
//go:embed urbion.jsonc
var Urbion []byte
