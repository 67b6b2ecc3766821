package dispatch

import "testing"

// Failure guarded against: an address at which no process can listen replaces one that
// works.
func TestCheckAddress(t *testing.T) {
	for address, want := range map[string]bool{
		"10.1.0.13:7720": true, "127.0.0.1:1": true, "[::1]:65535": true,
		"": false, "10.1.0.13": false, "10.1.0.13:": false, "10.1.0.13:0": false, "10.1.0.13:99999": false, "10.1.0.13:-1": false,
		"10.1.0.256:80": false, "host:80": false, ":80": false, "0.0.0.0:80": false, "224.0.0.1:80": false, "10.1.0.13:80\n": false,
	} {
		if err := CheckAddress(address); (err == nil) != want {
			t.Errorf("%q: %v", address, err)
		}
	}
}
