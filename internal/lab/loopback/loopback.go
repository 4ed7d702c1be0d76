// Package loopback gives the parties of an experiment addresses of their own in 127.0.0.0/8, and
// listeners that refuse connections or don't answer them, as a machine does whose process was killed
// or that was cut off. It needs Linux.
//
// A Net is owned by the run that claimed it; a Listener and its accepting goroutine by the party that
// listens. The goroutines that serve connections belong to the function that Listen was given: Close
// of the listener doesn't wait for them, but its method Wait does.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

const (
	// maxBlocks bounds the Nets that are claimed at one time on a machine.
	maxBlocks = 300
	// addressesPerBlock is the number of addresses of a Net. The last one is where it is claimed.
	addressesPerBlock = 50_000
	// claimPort is the port that the owner of a Net listens on at the Net's last address.
	claimPort = ":20004"
)

// ErrNoAddresses is the error of a claim when all addresses of the machine are claimed.
var ErrNoAddresses = fmt.Errorf("%d labs run on this machine", maxBlocks)

// AddressBlock gives out addresses that no other AddressBlock on the machine gives out while this one is open, so that
// no other lab takes the port of a party that has ended and starts again. It is safe for concurrent
// use.
type AddressBlock struct {
	claim net.Listener // at the last address, which no other process can listen at

	mu   sync.Mutex
	next int // index of the address that is given next
}

// Claim returns a Net of addresses that no other process has claimed. It returns ErrNoAddresses if
// there are none. The caller has to Close it.
func Claim() (*AddressBlock, error) {
	for attempt := range maxBlocks {
		first := (os.Getpid() + attempt) % maxBlocks * addressesPerBlock
		claim, err := net.Listen("tcp", address(first+addressesPerBlock-1)+claimPort)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("claim addresses: %w", err)
		}
		return &AddressBlock{next: first, claim: claim}, nil
	}
	return nil, fmt.Errorf("claim addresses: %w", ErrNoAddresses)
}

// Close gives the addresses back.
func (n *AddressBlock) Close() { n.claim.Close() }

// address returns the address with an index. 127.0.0.0/16 is left to the programs that listen on
// localhost.
func address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+i/(250*250), i/250%250, 1+i%250)
}

// IP returns an address that this Net has not given yet. The caller takes fewer than
// addressesPerNet; an experiment needs a few thousand.
func (n *AddressBlock) IP() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	return address(n.next - 1)
}

// FreePort returns an address with a port that nothing listens at, on an IP that this Net has not
// given yet.
func (n *AddressBlock) FreePort() (string, error) {
	l, err := net.Listen("tcp", n.IP()+":0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
