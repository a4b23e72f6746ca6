// Package examples holds complete inventories of two deployments, made from the
// sizes that the users gave, for trials and tests. All addresses are loopback.
//
// # Usage
//
//	inv, err := inventory.Parse("lumbre.toml", examples.Lumbre)
package examples

import _ "embed"

// Lumbre is the inventory of a lamp lender: three regions 12 ms apart.
//
//go:embed lumbre.toml
var Lumbre []byte

// Association is the inventory of a refill association: three regions 35 ms
// apart.
//
//go:embed association.toml
var Association []byte
