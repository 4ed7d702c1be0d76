package loopback

import (
	"net"
	"testing"
)

// No two AddressBlocks on one machine share an address, and a block hands out each address only once.
func TestAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		n, err := Claim()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		for range addressesPerBlock - 1 {
			ip := n.IP()
			if seen[ip] {
				t.Fatalf("%s was handed out twice", ip)
			}
			if p := net.ParseIP(ip); p == nil || !p.IsLoopback() {
				t.Fatalf("%s is not a loopback address", ip)
			}
			seen[ip] = true
		}
	}
}
