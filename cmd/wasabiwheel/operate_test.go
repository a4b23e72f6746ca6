package main

// Tests of the operators' commands against separate processes.

import (
	"bytes"
	"context"
	"encoding/json"
	"os/exec"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/member"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code        int
	out, errors string
}

// runCommand runs the program under test. A failure to run it yields exit code -1.
func runCommand(args ...string) commandResult {
	var out, errs bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run()
	return commandResult{code: cmd.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
}

// runStoreCommand runs a command against the store of this run.
func runStoreCommand(name string, args ...string) commandResult {
	return runCommand(append([]string{name, "--platform", storeAddress, "--timeout", "20s"}, args...)...)
}

func TestOperatorCommands(t *testing.T) {
	d := startDeployment(t)
	convey.Convey("Commands publish, roll back, drain and report the configuration in force", t, func() {
		next := localInventory(t, `timeout = "2s"`, `timeout = "1s"`)
		got := runStoreCommand("apply", "--author", "ana", "--inventory", next, "--dry-run")
		convey.So(got, convey.ShouldResemble, commandResult{out: "~ route catalogue: timeout 2s -> 1s\nnothing is changed; version 1 stands\n"})

		got = runStoreCommand("apply", "--author", "ana", "--inventory", next, "--wait")
		convey.So(got, convey.ShouldResemble, commandResult{out: "~ route catalogue: timeout 2s -> 1s\nversion 2 is accepted\nversion 2 is in force at 3 nodes\n"})

		got = runStoreCommand("apply", "--author", "eva", "--inventory", d.file, "--base", "1")
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.errors, convey.ShouldContainSubstring, "version 2 is in force, not 1")

		got = runStoreCommand("rollback", "--author", "eva", "1", "--wait", "--json")
		var p publishResult
		convey.So(json.Unmarshal([]byte(got.out), &p), convey.ShouldBeNil)
		convey.So(p.Version, convey.ShouldEqual, inventory.Version(3))
		convey.So(p.Nodes.InForce, convey.ShouldHaveLength, 3)

		var authors []string
		for _, line := range strings.Split(strings.TrimSpace(runStoreCommand("history").out), "\n") {
			authors = append(authors, strings.Join(strings.Split(line, "\t")[2:], " "))
		}
		convey.So(authors[0], convey.ShouldEqual, "eva rollback to 1")
		convey.So(authors[1], convey.ShouldEqual, "ana apply")

		convey.So(runStoreCommand("drain", "region", "centro", "--inventory", d.file).out, convey.ShouldEqual, "drained: [centro-a centro-b]\n")
		convey.So(runStoreCommand("undrain", "domain", "centro-a").out, convey.ShouldEqual, "drained: [centro-b]\n")
		eventually(t, "all nodes have received the drain, and no endpoint is cold", func() bool {
			got := runCommand("status", "--platform", storeAddress)
			return strings.Count(got.out, "drained [centro-b]") == 3 && !strings.Contains(got.out, "\tcold")
		})
		got = runCommand("lookup", "--node", d.inv.Entries[0].Lookup, "--region", "centro", "--domain", "centro-b")
		convey.So(got.out, convey.ShouldContainSubstring, d.inv.Entries[2].Caller)
		got = runCommand("quarantine", "--admin", d.inv.Entries[0].Admin, "--json")
		convey.So(got.out, convey.ShouldEqual, "[]\n")
		got = runCommand("quarantine", "--admin", d.inv.Entries[0].Admin, "--lift", "00112233445566778899aabbccddeeff")
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.errors, convey.ShouldContainSubstring, "not in quarantine")
		got = runCommand("load", "--node", d.inv.Entries[0].Lookup, "--rate", "50", "--duration", "1s", "--share", "0.2", "--once", "/serve/reservations/", "--json")
		var r loadReport
		convey.So(json.Unmarshal([]byte(got.out), &r), convey.ShouldBeNil)
		convey.So(r.Outcomes["ran"], convey.ShouldEqual, r.Sent)
	})
}

// TestCommandsWithSilentNodes registers nodes that do not respond, and reads from a store
// that does not.
func TestCommandsWithSilentNodes(t *testing.T) {
	d := startDeployment(t)
	convey.Convey("Each node that responds is shown, and what failed is told", t, func() {
		store := platform.New(platform.Options{Address: storeAddress})
		silent := member.Entry{ID: "a-silent", Domain: "centro-a", Region: "centro", AdminAddress: "127.0.0.1:1"}
		_, err := store.Create(t.Context(), platform.Entries, string(silent.ID), silent)
		convey.So(err, convey.ShouldBeNil)
		got := runCommand("status", "--platform", storeAddress)
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.errors, convey.ShouldContainSubstring, "127.0.0.1:1")
		for _, e := range d.inv.Entries {
			convey.So(got.out, convey.ShouldContainSubstring, string(e.ID))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = awaitRollout(ctx, "127.0.0.1:1", 1)
		convey.So(err, convey.ShouldNotBeNil)
	})
}
