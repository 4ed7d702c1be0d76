// Package loopback provides separate addresses in 127.0.0.0/8 for the parties of an experiment, and
// listeners that can refuse connections or leave them unanswered, like a machine whose process was
// killed or that was cut off from the network. It needs Linux.
//
// An AddressBlock is owned by the run that claimed it; a Listener and its accepting goroutine by the
// party that listens. The goroutines that serve connections belong to the function that Listen was
// given: Listener.Close doesn't wait for them, but Listener.Wait does.
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
	// maxBlocks bounds the AddressBlocks that are claimed at the same time on a machine.
	maxBlocks = 300
	// addressesPerBlock is the number of addresses of an AddressBlock. The last one is reserved for the
	// claim.
	addressesPerBlock = 50_000
	// claimPort is the port that the owner of an AddressBlock listens on at the block's last address.
	claimPort = ":20004"
)

// ErrNoAddresses is the error of Claim when all addresses of the machine are claimed.
var ErrNoAddresses = fmt.Errorf("%d labs run on this machine", maxBlocks)

// AddressBlock hands out addresses that no other AddressBlock on the machine hands out while this one is
// open. This keeps other labs from taking the port of a party that ends and starts again. It is safe for
// concurrent use.
type AddressBlock struct {
	claim net.Listener // listens at the block's last address, so that no other process can claim the block

	mu   sync.Mutex
	next int // index of the next address to hand out
}

// Claim returns an AddressBlock that no other process has claimed. It returns ErrNoAddresses if there is
// none left. The caller has to Close it.
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

// Close releases the addresses.
func (n *AddressBlock) Close() { n.claim.Close() }

// address returns the address with an index. 127.0.0.0/16 is left to the programs that listen on
// localhost.
func address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+i/(250*250), i/250%250, 1+i%250)
}

// IP returns an address that this block has not handed out yet. The caller takes fewer than
// addressesPerBlock; an experiment needs a few thousand.
func (n *AddressBlock) IP() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	return address(n.next - 1)
}

// FreePort returns an address with a port that nothing listens on, at an IP that this block has not
// handed out yet.
func (n *AddressBlock) FreePort() (string, error) {
	l, err := net.Listen("tcp", n.IP()+":0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
