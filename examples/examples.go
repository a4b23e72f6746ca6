// Package examples contains complete inventories of two deployments, with the sizes
// that the users specified, for manual runs and tests. All addresses are on loopback.
//
// # Usage
//
//	inv, err := inventory.Parse("lumbre.toml", examples.Lumbre)
package examples

import _ "embed"

// Lumbre is the inventory of a lamp lending service with three regions, 12 ms
// apart.
//
//go:embed lumbre.toml
var Lumbre []byte

// Association is the inventory of a first-aid kit refill association with three
// regions, 35 ms apart.
//
//go:embed association.toml
var Association []byte

// Organisations are those of the Lumbre deployment. Appended to Lumbre, they are an inventory
// whose callers need a key.
//
//go:embed organisations.toml
var Organisations []byte
