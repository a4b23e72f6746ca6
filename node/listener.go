package node

// Listeners that keep accepting connections. Accept fails if descriptors or memory of the kernel run
// out, and with errors of a connection that broke before it was accepted; all of these pass.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabiwheel/wasabiwheel/budget"
)

const (
	minAcceptDelay = 5 * time.Millisecond // after an error of Accept; it doubles with each further one
	maxAcceptDelay = 500 * time.Millisecond
)

// listener accepts the connections of a class, as many as the budget allows.
type listener struct {
	net.Listener
	class   budget.Class
	conns   *connections
	metrics nodeMetrics
	lost    *atomic.Bool // set if the address is lost without having been closed
	closed  chan struct{}
	once    sync.Once
}

// listenFor opens an address for connections of a class.
func (n *Node) listenFor(class budget.Class, address string) (*listener, error) {
	l, err := n.network.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindNetwork, Err: err}
	}
	return &listener{Listener: l, class: class, conns: n.connections, metrics: n.metrics, lost: &n.listenerLost, closed: make(chan struct{})}, nil
}

// Accept returns the next connection. It fails only when the listener is closed or lost.
func (l *listener) Accept() (net.Conn, error) {
	delay := time.Duration(0)
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			delay = 0
			if admitted := l.conns.admit(time.Now(), l.class, c); admitted != nil {
				return admitted, nil
			}
			l.metrics.increment("connection.refused." + string(l.class))
			continue
		}
		if l.isClosed() {
			return nil, net.ErrClosed
		}
		if isLost(err) {
			l.lost.Store(true)
			l.metrics.increment("accept.lost." + string(l.class))
			klog.ErrorS(err, "listener lost, not ready any more", "class", l.class)
			return nil, err
		}
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		l.metrics.increment("accept.failed." + string(l.class))
		klog.ErrorS(err, "accepting a connection failed", "class", l.class, "again", roundedSeconds(delay))
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.conns.closeSurplus(time.Now())
		}
		select {
		case <-time.After(delay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the address and ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// isLost reports whether Accept will fail with this error for ever.
func isLost(err error) bool {
	for _, permanent := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, permanent) {
			return true
		}
	}
	return false
}
