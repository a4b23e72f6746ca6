package main

// The node command.

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/node"
	"github.com/wasabiwheel/wasabiwheel/platform"
	"github.com/wasabiwheel/wasabiwheel/soak"
)

type nodeCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file of the node (TOML)"`
}

// Execute runs the node until SIGTERM or SIGINT, which shut it down gracefully.
// SIGHUP reloads its settings.
func (c *nodeCommand) Execute([]string) error { return c.run(nil) }

// soakNodeCommand runs a node for the soak, whose links to the endpoints can be cut.
type soakNodeCommand struct {
	nodeCommand
	Links     string `long:"links" required:"true" value-name:"FILE" description:"file that says how the links are cut"`
	Endpoints string `long:"endpoints" required:"true" value-name:"PREFIX" description:"prefix of the addresses of endpoints"`
	Source    string `long:"source" required:"true" value-name:"IP" description:"IP address from which connections to endpoints are opened"`
}

// Execute runs the node like the node command.
func (c *soakNodeCommand) Execute([]string) error {
	return c.run(soak.NewLinks(c.Links, c.Endpoints, c.Source))
}

// memoryLimitShare is the share of the VM's memory from which the garbage collector runs more often. The
// rest is for the program itself and for what a collection needs until it is done.
const memoryLimitShare = 0.6

// run runs the node on a network; nil: that of the VM.
func (c *nodeCommand) run(network node.Network) error {
	s, err := node.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	if s.VM.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(int64(s.VM.Memory)<<20)))
	}
	log := node.NewLog(os.Stdout)
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		log.Run(done)
	}()
	defer func() {
		close(done)
		<-written
	}()
	n := node.New(s, node.Options{Network: network, Protocol: selectProtocol(s), SinceBoot: sinceBoot})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	go c.reload(n, reload)
	return n.Run(ctx)
}

// selectProtocol returns the protocol selected by the settings.
func selectProtocol(s node.Settings) node.Protocol {
	if s.Protocol == node.ProtocolPlatform {
		return platform.Protocol{}
	}
	return node.NativeProtocol{}
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes made without a signal.
const settingsPollInterval = 5 * time.Second

// reload reads the settings at each signal and whenever the file has changed.
// Invalid settings are logged and leave the current ones in use.
func (c *nodeCommand) reload(n *node.Node, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := c.settingsModTime()
	for {
		cause := "signal"
		select {
		case <-signals:
		case <-ticker.C:
			modified := c.settingsModTime()
			if modified.Equal(lastModified) {
				continue
			}
			lastModified, cause = modified, "file changed"
		}
		s, err := node.ReadSettings(c.Settings)
		if err != nil {
			klog.ErrorS(err, "settings refused, keeping the current ones", "cause", cause)
			continue
		}
		n.Reload(s, cause)
	}
}

func (c *nodeCommand) settingsModTime() time.Time {
	info, err := os.Stat(c.Settings)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// sinceBoot returns the time since boot, including time during which the VM was
// suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // clock unavailable; pauses are then detected only by the time between ticks
	}
	return time.Duration(t.Nano())
}
