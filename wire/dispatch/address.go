package dispatch

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// CheckAddress returns an error unless a process can listen at the address, an IP
// address and a port. Addresses that other processes have stored are checked before
// they replace one that works.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrap(err, "address")
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return eris.Errorf("address %s is no process's", address)
	}
	return nil
}
