package node

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/wasabiwheel/wasabiwheel/exchange"
	"github.com/wasabiwheel/wasabiwheel/platform"
)

// option returns a TCP option of a connection.
func option(t *testing.T, c net.Conn, name int) int {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}

// TestNoUserTimeoutReplacesKeepAliveProbes guards against an option, which some libraries set by
// themselves, that decides when a silent connection ends, whatever the number of probes.
func TestNoUserTimeoutReplacesKeepAliveProbes(t *testing.T) {
	store := exchange.TimeoutDialer{Dialer: platform.NewDialer(), Timeout: time.Second}
	cases := map[string]struct {
		dialer exchange.Dialer
		probes int
	}{
		"the store":                        {store, 2},
		"endpoints and other nodes":        {&TCP{}, 9},
		"other nodes, with a time to dial": {exchange.TimeoutDialer{Dialer: &TCP{}, Timeout: time.Second}, 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey("For connections that are opened, and for those accepted", t, func() {
				l, err := (&TCP{}).Listen("tcp", "127.0.0.1:0")
				convey.So(err, convey.ShouldBeNil)
				defer func() { _ = l.Close() }()
				opened, err := c.dialer.DialContext(t.Context(), "tcp", l.Addr().String())
				convey.So(err, convey.ShouldBeNil)
				defer func() { _ = opened.Close() }()
				accepted, err := l.Accept()
				convey.So(err, convey.ShouldBeNil)
				defer func() { _ = accepted.Close() }()
				for _, conn := range []net.Conn{opened, accepted} {
					convey.So(option(t, conn, unix.TCP_USER_TIMEOUT), convey.ShouldEqual, 0)
				}
				convey.So(option(t, opened, unix.TCP_KEEPCNT), convey.ShouldEqual, c.probes)
				convey.So(option(t, accepted, unix.TCP_KEEPCNT), convey.ShouldEqual, 9)
			})
		})
	}
}
