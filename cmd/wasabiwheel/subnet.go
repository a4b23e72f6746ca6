package main

// Loopback subnets for end-to-end runs. Each run claims its own subnet, so that
// several can run concurrently on one machine.

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	firstSubnet = 30  // 127.30.; lower subnets are reserved for manual use by operators
	subnetCount = 200 // available to runs
)

// subnetClaim is a subnet that no other run claims while its listener is open.
type subnetClaim struct {
	prefix   string
	listener net.Listener
}

// claimSubnet claims the first free subnet. The search starts at a subnet derived
// from the process id.
var claimSubnet = sync.OnceValue(func() subnetClaim {
	for i := range subnetCount {
		c := subnetClaim{prefix: fmt.Sprintf("127.%d.", firstSubnet+(os.Getpid()+i)%subnetCount)}
		var err error
		if c.listener, err = net.Listen("tcp", c.prefix+"255.254:9000"); err == nil {
			return c
		}
	}
	return subnetClaim{prefix: fmt.Sprintf("127.%d.", firstSubnet)} // all subnets are in use; starting the servers will fail
})

// trySubnet returns the prefix of all addresses of this run, such as "127.40.".
func trySubnet() string { return claimSubnet().prefix }

func tryPlatform() string { return trySubnet() + "0.1:9000" }
