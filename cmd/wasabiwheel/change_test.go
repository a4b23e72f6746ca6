package main

// The commands that change the configuration, against separate processes.

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

// ran is what became of a command.
type ran struct {
	code        int
	out, errors string
}

func command(args ...string) ran {
	var out, errs bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run()
	return ran{code: cmd.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
}

// operate runs a command against the platform of this run.
func operate(name string, args ...string) ran {
	return command(append([]string{name, "--platform", "http://" + processPlatform, "--author", "ana", "--timeout", "20s"}, args...)...)
}

// editedInventory writes the small inventory with one replacement.
func editedInventory(t *testing.T, old, replacement string) string {
	t.Helper()
	file := localInventory(t, "testdata/small.toml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, bytes.Replace(text, []byte(old), []byte(replacement), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestOperatorsChangeWhatIsInForce(t *testing.T) {
	startSystem(t, "testdata/small.toml")
	same := localInventory(t, "testdata/small.toml")
	convey.Convey("Operators change what is in force", t, func() {
		got := operate("apply", "--inventory", same, "--wait")
		convey.So(got, convey.ShouldResemble, ran{out: "nothing is changed; version 1 stands\nversion 1 is in force at 3 nodes\n"})

		more := editedInventory(t, "slots = 3", "slots = 5")
		got = operate("apply", "--inventory", more, "--wait")
		convey.So(got.errors+got.out, convey.ShouldEqual, "~ endpoint catalogue-2: slots 3 -> 5\nversion 2 is accepted\nversion 2 is in force at 3 nodes\n")

		got = operate("drain", "endpoint", "catalogue-1", "--wait", "--json")
		var r changeResult
		convey.So(json.Unmarshal([]byte(got.out), &r), convey.ShouldBeNil)
		convey.So(r.Version, convey.ShouldEqual, 3)
		convey.So(r.Nodes.InForce, convey.ShouldHaveLength, 3)
		convey.So(r.Drains, convey.ShouldResemble, []inventory.Drain{{Endpoint: "catalogue-1"}})

		// A file that does not know the drain leaves it in force, and says so.
		got = operate("apply", "--inventory", same)
		convey.So(got.out, convey.ShouldEqual, "~ endpoint catalogue-2: slots 5 -> 3\ndrained by command: endpoint catalogue-1\nversion 4 is accepted\n")

		got = operate("drain", "endpoint", "catalogue-2")
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.errors, convey.ShouldContainSubstring, `drains leave service "catalogue" with no endpoint`)

		convey.So(operate("undrain", "endpoint", "catalogue-1").out, convey.ShouldEqual, "- drain endpoint catalogue-1\nversion 5 is accepted\n")
		convey.So(operate("rollback", "2", "--wait").out, convey.ShouldContainSubstring, "slots 3 -> 5\nversion 6 is accepted\nversion 6 is in force at 3 nodes\n")
		convey.So(operate("apply", "--inventory", same, "--base", "5").errors, convey.ShouldContainSubstring, `version 6 by "ana" is in force`)

		lines := strings.Split(strings.TrimSpace(command("history", "--platform", "http://"+processPlatform).out), "\n")
		convey.So(lines, convey.ShouldHaveLength, 6)
		convey.So(lines[0], convey.ShouldEndWith, "\tana\trollback to 2")

		var wait []*exec.Cmd
		for _, id := range []string{"c-1", "c-2"} {
			cmd := exec.Command(binary, "drain", "--platform", "http://"+processPlatform, "entry", id)
			convey.So(cmd.Start(), convey.ShouldBeNil)
			wait = append(wait, cmd)
		}
		for _, cmd := range wait {
			convey.So(cmd.Wait(), convey.ShouldBeNil)
		}
		got = operate("apply", "--inventory", more, "--dry-run", "--json")
		convey.So(json.Unmarshal([]byte(got.out), &r), convey.ShouldBeNil)
		convey.So(r.Version, convey.ShouldEqual, 8)
		convey.So(r.Drains, convey.ShouldHaveLength, 2)
	})
}

func TestWaitListsLaggards(t *testing.T) {
	_, nodes := startSystem(t, "testdata/small.toml")
	convey.Convey("A node that is paused is a laggard, and the command fails", t, func() {
		convey.So(nodes[2].Process.Signal(syscall.SIGSTOP), convey.ShouldBeNil)
		// The signal takes effect some time after it was sent.
		var status syscall.WaitStatus
		_, err := syscall.Wait4(nodes[2].Process.Pid, &status, syscall.WUNTRACED, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(status.Stopped(), convey.ShouldBeTrue)
		got := command("drain", "--platform", "http://"+processPlatform, "--node", processPlatform, "--timeout", "3s", "--wait", "endpoint", "catalogue-1")
		convey.So(nodes[2].Process.Signal(syscall.SIGCONT), convey.ShouldBeNil)
		convey.So(got.code, convey.ShouldEqual, exitFailed)
		convey.So(got.out, convey.ShouldContainSubstring, "version 2 is accepted\n")
		convey.So(got.errors, convey.ShouldContainSubstring, "version 2 is not in force at ")
		convey.So(got.errors, convey.ShouldContainSubstring, "c-3")
		convey.So(operate("apply", "--inventory", localInventory(t, "testdata/small.toml"), "--wait").code, convey.ShouldEqual, 0)
	})
}

func TestApplyAsksANodeWhenTheStoreIsOlder(t *testing.T) {
	inv, _ := startSystem(t, "testdata/small.toml")
	convey.Convey("The change builds on what nodes have in force", t, func() {
		convey.So(operate("drain", "endpoint", "catalogue-1", "--wait").code, convey.ShouldEqual, 0)
		// The platform is replaced by one that has lost everything.
		order(t, processPlatform+"/fault", standin.Fault{Forget: true})
		got := operate("apply", "--inventory", editedInventory(t, "slots = 3", "slots = 5"), "--node", inv.Entries[0].Admin, "--wait")
		convey.So(got.errors, convey.ShouldContainSubstring, "the store's configuration is older: it holds version 0, nodes have version 2")
		convey.So(got.out, convey.ShouldEndWith, "drained by command: endpoint catalogue-1\nversion 3 is accepted\nversion 3 is in force at 3 nodes\n")
	})
}

func TestCommandsExplainThemselves(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		says string
	}{
		"help":            {[]string{"--help"}, 0, "rollback"},
		"apply's help":    {[]string{"apply", "--help"}, 0, "--wait"},
		"drain's help":    {[]string{"drain", "--help"}, 0, "region, domain, endpoint or entry"},
		"undrain's help":  {[]string{"undrain", "--help"}, 0, "made by command"},
		"history's help":  {[]string{"history", "--help"}, 0, "--json"},
		"rollback's help": {[]string{"rollback", "--help"}, 0, "VERSION"},
		"check's help":    {[]string{"check", "--help"}, 0, "--settings"},
		"no platform":     {[]string{"apply"}, exitUsage, "platform"},
		"no place":        {[]string{"drain", "--platform", "http://127.0.0.1:1"}, exitUsage, "required"},
		"no such kind":    {[]string{"drain", "--platform", "http://127.0.0.1:1", "floor", "3"}, exitUsage, "floor"},
		"no such file":    {[]string{"apply", "--platform", "http://127.0.0.1:1", "--inventory", filepath.Join("testdata", "none.toml")}, exitFailed, "none.toml"},
		"platform down":   {[]string{"history", "--platform", "http://127.0.0.1:1", "--timeout", "300ms"}, exitFailed, "unavailable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("The command says what is wanted or wrong", t, func() {
				got := command(c.args...)
				convey.So(got.code, convey.ShouldEqual, c.code)
				if c.code == 0 {
					convey.So(got.out, convey.ShouldContainSubstring, c.says)
					return
				}
				convey.So(got.out, convey.ShouldEqual, "")
				convey.So(got.errors, convey.ShouldContainSubstring, c.says)
			})
		})
	}
}
