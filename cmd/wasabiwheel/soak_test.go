package main

// A soak of separate processes: callers send reads and once-only operations
// while nodes are killed, frozen and restarted, the platform fails, loses
// answers and slows down, and operators race each other. What must always hold
// is checked afterwards at the targets and at the nodes. Longer:
//
//	go test ./cmd/wasabiwheel -run TestSoak -soak 10m -soakseed 7 -timeout 30m

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/wasabiwheel/wasabiwheel/caller"
	"github.com/wasabiwheel/wasabiwheel/inventory"
	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/standin"
)

var (
	soakTime = flag.Duration("soak", 12*time.Second, "length of the soak")
	soakSeed = flag.Uint64("soakseed", 1, "seed of the soak's schedule")
)

const (
	soakCallers = 12
	soakPause   = 20 * time.Millisecond // of a caller between operations
	soakGap     = 400 * time.Millisecond
)

// soak is one run.
type soak struct {
	t        *testing.T
	inv      *inventory.Inventory
	file     string
	settings map[inventory.EntryID]string
	nodes    map[inventory.EntryID]*exec.Cmd
	random   *rand.Rand

	mu       sync.Mutex
	outcomes map[string]int
	told     map[string]caller.Outcome // by key
	versions map[inventory.EntryID]inventory.Version
	reverted []string
}

func TestSoak(t *testing.T) {
	s := newSoak(t)
	ctx, stop := context.WithTimeout(t.Context(), *soakTime)
	defer stop()
	var wait sync.WaitGroup
	for i := range soakCallers {
		wait.Go(func() { s.callLoop(ctx, i) })
	}
	wait.Go(func() { s.watchVersions(ctx) })
	s.disturb(ctx)
	wait.Wait()
	s.restore()
	t.Logf("outcomes: %v", s.outcomes)
	convey.Convey("After the soak", t, func() {
		convey.Convey("nothing that must run at most once ran twice, and what was told not-run did not run", func() {
			convey.So(s.wrongOperations(), convey.ShouldBeEmpty)
		})
		convey.Convey("no endpoint had more requests than slots", func() {
			for _, e := range s.inv.Endpoints {
				convey.So(s.ledger(e).Peak, convey.ShouldBeLessThanOrEqualTo, e.Slots)
			}
		})
		convey.Convey("no node's configuration went down", func() {
			convey.So(s.reverted, convey.ShouldBeEmpty)
		})
		convey.Convey("no node saw an invariant broken", func() {
			convey.So(s.brokenInvariants(), convey.ShouldBeEmpty)
		})
		convey.Convey("work was done", func() {
			convey.So(s.outcomes["ran"], convey.ShouldBeGreaterThan, 0)
		})
	})
}

func newSoak(t *testing.T) *soak {
	file := localInventory(t, "testdata/soak.toml")
	inv, nodes := startSystemFrom(t, file)
	s := &soak{
		t:        t,
		inv:      inv,
		file:     file,
		settings: map[inventory.EntryID]string{},
		nodes:    map[inventory.EntryID]*exec.Cmd{},
		random:   rand.New(rand.NewPCG(*soakSeed, *soakSeed)),
		outcomes: map[string]int{},
		told:     map[string]caller.Outcome{},
		versions: map[inventory.EntryID]inventory.Version{},
	}
	for i, f := range writeSettings(t, inv) {
		s.settings[inv.Entries[i].ID] = f
		s.nodes[inv.Entries[i].ID] = nodes[i]
	}
	return s
}

// callLoop is one caller: reads and once-only operations in turn.
func (s *soak) callLoop(ctx context.Context, i int) {
	var addresses []string
	for _, e := range s.inv.Entries {
		addresses = append(addresses, e.Caller)
	}
	region := s.inv.Regions[i%len(s.inv.Regions)].ID
	client := caller.New(caller.Options{Nodes: addresses, Region: region, Block: inventory.BlockID(fmt.Sprint("soak-", i))})
	for n := 0; ctx.Err() == nil; n++ {
		op := caller.Operation{Service: "catalogue", Method: http.MethodGet, Path: fmt.Sprintf("/%d/%d", i, n)}
		if n%2 == 0 {
			op.Service, op.Method, op.Once = "reservations", http.MethodPost, true
		}
		s.callOnce(client, op)
		pauseFor(ctx, soakPause)
	}
}

func (s *soak) callOnce(client *caller.Client, op caller.Operation) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := client.Call(ctx, op)
	outcome := string(r.Outcome)
	if err != nil {
		outcome = "broken"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	if r.Key != "" {
		s.told[r.Key] = r.Outcome
	}
	var echo standin.Echo
	if r.Outcome == caller.OutcomeRan && (json.Unmarshal(r.Body, &echo) != nil || echo.Path != op.Path || echo.Key != r.Key) {
		s.t.Errorf("the answer to %s %q is %s", op.Path, r.Key, r.Body)
	}
}

// pauseFor waits, or less when ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// disturb draws one fault after another from the seed.
func (s *soak) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		e := s.inv.Entries[s.random.IntN(len(s.inv.Entries))]
		switch s.random.IntN(6) {
		case 0:
			s.kill(e.ID)
			pauseFor(ctx, time.Duration(s.random.IntN(1500))*time.Millisecond)
			s.start(e.ID)
		case 1:
			s.freeze(ctx, e.ID, time.Duration(s.random.IntN(3000))*time.Millisecond)
		case 2:
			s.fault(standin.Fault{Down: true})
			pauseFor(ctx, time.Duration(s.random.IntN(2000))*time.Millisecond)
			s.fault(standin.Fault{})
		case 3:
			s.fault(standin.Fault{LoseAnswer: 1 + s.random.IntN(2)})
		case 4:
			s.fault(standin.Fault{Delay: time.Duration(s.random.IntN(300)) * time.Millisecond})
		default:
			s.race()
		}
		pauseFor(ctx, soakGap)
	}
}

func (s *soak) kill(id inventory.EntryID) {
	_ = s.nodes[id].Process.Kill()
	_, _ = s.nodes[id].Process.Wait()
}

func (s *soak) start(id inventory.EntryID) {
	s.nodes[id] = start(s.t, "node", "--settings", s.settings[id])
}

func (s *soak) freeze(ctx context.Context, id inventory.EntryID, d time.Duration) {
	_ = s.nodes[id].Process.Signal(syscall.SIGSTOP)
	pauseFor(ctx, d)
	_ = s.nodes[id].Process.Signal(syscall.SIGCONT)
}

func (s *soak) fault(f standin.Fault) {
	data, err := json.Marshal(f)
	if err != nil {
		s.t.Error(err)
	}
	resp, err := http.Post("http://"+processPlatform+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Error(err)
		return
	}
	_ = resp.Body.Close()
}

// race lets two operators apply at the same time.
func (s *soak) race() {
	var wait sync.WaitGroup
	for _, author := range []string{"ana", "luis"} {
		file := s.noted(author)
		wait.Go(func() {
			_ = exec.Command(binary, "apply", "--platform", "http://"+processPlatform, "--inventory", file, "--author", author, "--timeout", "2s").Run()
		})
	}
	wait.Wait()
}

// noted writes the inventory with a note, since a file without a difference
// makes no version.
func (s *soak) noted(author string) string {
	text, err := os.ReadFile(s.file)
	if err != nil {
		s.t.Error(err)
	}
	file := filepath.Join(s.t.TempDir(), author+".toml")
	text = append([]byte("# "+author+" at "+time.Now().String()+"\n"), text...)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.t.Error(err)
	}
	return file
}

// watchVersions notes each node whose version goes down. A restarted process
// may start lower, so its incarnation counts too.
func (s *soak) watchVersions(ctx context.Context) {
	incarnations := map[inventory.EntryID]inventory.Incarnation{}
	for ctx.Err() == nil {
		for _, e := range s.inv.Entries {
			var st node.Status
			if getJSON("http://"+e.Admin+node.PathStatus, &st) != nil {
				continue
			}
			if incarnations[e.ID] == st.Incarnation && st.Version < s.versions[e.ID] {
				s.reverted = append(s.reverted, fmt.Sprintf("%s from %d to %d", e.ID, s.versions[e.ID], st.Version))
			}
			incarnations[e.ID], s.versions[e.ID] = st.Incarnation, st.Version
		}
		pauseFor(ctx, soakGap)
	}
}

// restore ends all faults and waits until each slot has an owner again.
func (s *soak) restore() {
	s.fault(standin.Fault{})
	eventually(s.t, "all slots have an owner again", func() bool { return allOwned(s.inv, len(s.inv.Entries)) })
}

func (s *soak) ledger(e inventory.Endpoint) standin.Ledger {
	var l standin.Ledger
	if err := getJSON("http://"+e.Address+"/ledger", &l); err != nil {
		s.t.Fatal(err)
	}
	return l
}

func (s *soak) ledgerKeys() map[string]int {
	all := map[string]int{}
	for _, e := range s.inv.Endpoints {
		for key, times := range s.ledger(e).Keys {
			all[key] += times
		}
	}
	return all
}

// wrongOperations lists the operations that ran twice, or ran although their
// caller was told that they did not, or did not run although it got an answer.
func (s *soak) wrongOperations() []string {
	var wrong []string
	ran := s.ledgerKeys()
	for key, times := range ran {
		if times > 1 || s.told[key] == caller.OutcomeNotRun {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times, told %q", key, times, s.told[key]))
		}
	}
	for key, outcome := range s.told {
		if outcome == caller.OutcomeRan && ran[key] == 0 {
			wrong = append(wrong, key+" was answered and did not run")
		}
	}
	return wrong
}

func (s *soak) brokenInvariants() map[string]int64 {
	broken := map[string]int64{}
	for _, e := range s.inv.Entries {
		var st node.Status
		if err := getJSON("http://"+e.Admin+node.PathStatus, &st); err != nil {
			s.t.Fatal(err)
		}
		maps.DeleteFunc(st.Counters, func(name string, _ int64) bool { return !strings.HasPrefix(name, "invariant.") })
		maps.Copy(broken, st.Counters)
	}
	return broken
}
