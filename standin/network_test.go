package standin

import (
	"errors"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestKilledVMOpensNothing(t *testing.T) {
	convey.Convey("A killed process neither listens nor connects; its successor does", t, func() {
		n := NewNetwork(1, func(Path) Quality { return Quality{} })
		vm := n.VM("10.0.0.1")
		n.Kill("10.0.0.1")
		_, err := vm.Listen("tcp", "10.0.0.1:80")
		convey.So(errors.Is(err, net.ErrClosed), convey.ShouldBeTrue)
		l, err := n.VM("10.0.0.1").Listen("tcp", "10.0.0.1:80")
		convey.So(err, convey.ShouldBeNil)
		_ = l.Close()
	})
}
