package main

// The version command.

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Execute prints the version recorded in the binary's build information.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return &Error{Op: "version", Kind: KindFailed, Err: errNoBuildInfo}
	}
	fmt.Fprintf(output, "wasabiwheel %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
