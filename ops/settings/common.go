package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"persimmonrock.example/structs"
)

// minPeerSecret is the minimum length of the shared secret in bytes; package
// wire requires the same.
const minPeerSecret = 16

// HTTP configures a process's HTTP server.
type HTTP struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen"`
}

// RPC configures a process's server for the system's own protocol.
type RPC struct {
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen"`
	// Advertise is the IP address and port at which other processes reach this
	// one. Empty means the same as listen.
	Advertise string `json:"advertise"`
}

// Address returns the address at which other processes reach this one.
func (r RPC) Address() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Listen
}

// Peers configures security between the system's processes.
type Peers struct {
	// Secret is the secret that all processes share, at least 16 bytes. Give
	// this or secret_file.
	Secret string `json:"secret"`
	// SecretFile is a file with the shared secret; surrounding white space is
	// ignored.
	SecretFile string `json:"secret_file"`
	// AlsoAcceptFile is a file with a second secret that other processes may
	// use while the secret is being changed.
	AlsoAcceptFile string `json:"also_accept_file"`
	// TLS encrypts the traffic between the processes. All or none have it.
	TLS *PeerTLS `json:"tls,omitempty"`
}

// PeerTLS names the files of TLS between the system's processes. They are read
// again when they change.
type PeerTLS struct {
	// Cert is the file of this process's PEM certificate chain.
	Cert string `json:"cert"`
	// Key is the file of the PEM private key.
	Key string `json:"key"`
	// CA is the file of the PEM certificates, one of which must have signed the
	// certificate of every other process.
	CA string `json:"ca"`
}

// Files returns t in the form that servers and clients read.
func (t PeerTLS) Files() TLS { return TLS{Cert: t.Cert, Key: t.Key, ClientCA: t.CA} }

// Load returns the shared secret.
func (p Peers) Load() ([]byte, error) {
	if p.SecretFile == "" {
		return []byte(p.Secret), nil
	}
	return readSecret(p.SecretFile)
}

// LoadAlsoAccept returns the second secret, or nil if there is none.
func (p Peers) LoadAlsoAccept() ([]byte, error) {
	if p.AlsoAcceptFile == "" {
		return nil, nil
	}
	return readSecret(p.AlsoAcceptFile)
}

func readSecret(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return bytes.TrimSpace(b), nil
}

func (p Peers) check(key string) []Problem {
	if (p.Secret == "") == (p.SecretFile == "") {
		return []Problem{{key, "want either secret or secret_file"}}
	}
	secret, err := p.Load()
	if err != nil {
		return []Problem{{key + ".secret_file", "want a readable file: " + err.Error()}}
	}
	if len(secret) < minPeerSecret {
		return []Problem{{key, fmt.Sprintf("want a secret of at least %d bytes, got %d", minPeerSecret, len(secret))}}
	}
	return append(p.checkAlsoAccept(key+".also_accept_file"), p.TLS.check(key+".tls")...)
}

func (p Peers) checkAlsoAccept(key string) []Problem {
	second, err := p.LoadAlsoAccept()
	switch {
	case err != nil:
		return []Problem{{key, "want a readable file: " + err.Error()}}
	case p.AlsoAcceptFile != "" && len(second) < minPeerSecret:
		return []Problem{{key, fmt.Sprintf("want a secret of at least %d bytes, got %d", minPeerSecret, len(second))}}
	}
	return nil
}

func (t *PeerTLS) check(key string) []Problem {
	if t == nil {
		return nil
	}
	return checkFiles(key, []file{{"cert", t.Cert}, {"key", t.Key}, {"ca", t.CA}})
}

// file is a file that is named in the settings, with its key.
type file struct{ name, path string }

func checkFiles(key string, files []file) []Problem {
	var out []Problem
	for _, f := range files {
		if _, err := os.Stat(f.path); err != nil {
			out = append(out, Problem{key + "." + f.name, "want a readable file: " + err.Error()})
		}
	}
	return out
}

// TLS names the files of a TLS server. They are read again when they change.
type TLS struct {
	// Cert is the file of the PEM certificate chain.
	Cert string `json:"cert"`
	// Key is the file of the PEM private key.
	Key string `json:"key"`
	// ClientCA is a file of PEM certificates, one of which must have signed a
	// client's certificate. If empty, clients need no certificate.
	ClientCA string `json:"client_ca"`
}

func (t *TLS) check(key string) []Problem {
	if t == nil {
		return nil
	}
	files := []file{{"cert", t.Cert}, {"key", t.Key}}
	if t.ClientCA != "" {
		files = append(files, file{"client_ca", t.ClientCA})
	}
	return checkFiles(key, files)
}

// Limits bounds the resources of a process that HTTP clients can use.
type Limits struct {
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderBytes is the maximum size of a request header in bytes.
	HeaderBytes int `json:"header_bytes"`
	// Connections is the maximum number of open connections; beyond it, those that
	// show the least progress are closed.
	Connections int `json:"connections"`
	// MemoryBytes is the memory in bytes that all connections and their requests
	// may hold, 32 KiB of it for each connection.
	MemoryBytes int64 `json:"memory_bytes"`
	// ReadHeader is the time in which a client must send its header.
	ReadHeader structs.Duration `json:"read_header"`
	// ReadBody is the time in which a client must send its body.
	ReadBody structs.Duration `json:"read_body"`
	// Write is the time in which a client must read a response, from the first
	// byte written.
	Write structs.Duration `json:"write"`
	// Idle is the time after which a connection without a request is closed.
	Idle structs.Duration `json:"idle"`
}

// DefaultLimits returns the limits that apply unless the file sets them.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:   1 << 20,
		HeaderBytes: 16 << 10,
		Connections: 4096,
		MemoryBytes: 96 << 20,
		ReadHeader:  seconds(5),
		ReadBody:    seconds(15),
		Write:       seconds(15),
		Idle:        seconds(120),
	}
}

func (l Limits) check(key string) []Problem {
	out := positive(key+".body_bytes", l.BodyBytes)
	out = append(out, positive(key+".header_bytes", int64(l.HeaderBytes))...)
	out = append(out, positive(key+".connections", int64(l.Connections))...)
	out = append(out, positive(key+".memory_bytes", l.MemoryBytes)...)
	out = append(out, positiveDuration(key+".read_header", l.ReadHeader)...)
	out = append(out, positiveDuration(key+".read_body", l.ReadBody)...)
	out = append(out, positiveDuration(key+".write", l.Write)...)
	return append(out, positiveDuration(key+".idle", l.Idle)...)
}

func seconds(n int) structs.Duration { return structs.Duration(time.Duration(n) * time.Second) }

func required(key, value, want string) []Problem {
	if value != "" {
		return nil
	}
	return []Problem{{key, "missing; want " + want}}
}

func positive(key string, n int64) []Problem {
	if n > 0 {
		return nil
	}
	return []Problem{{key, fmt.Sprintf("want above 0, got %d", n)}}
}

func positiveDuration(key string, d structs.Duration) []Problem {
	if d > 0 {
		return nil
	}
	return []Problem{{key, fmt.Sprintf("want above 0s, got %s", d.Std())}}
}

// checkAddress requires "ip:port". It refuses host names: a process takes its
// addresses from its settings, and uses no resolver while it serves.
func checkAddress(key, address string) []Problem {
	const want = `an IP address and port, such as "10.0.0.7:7400"`
	if address == "" {
		return required(key, address, want)
	}
	host, port, err := net.SplitHostPort(address)
	_, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || net.ParseIP(host) == nil {
		return []Problem{{key, fmt.Sprintf("want %s, got %q", want, address)}}
	}
	return nil
}

// checkReachable is checkAddress for an address that other processes dial.
func checkReachable(key, address string) []Problem {
	if out := checkAddress(key, address); out != nil {
		return out
	}
	host, _, _ := net.SplitHostPort(address)
	if net.ParseIP(host).IsUnspecified() {
		return []Problem{{key, fmt.Sprintf("want an address that other processes can reach, got %q; set advertise", address)}}
	}
	return nil
}

func checkURL(key, text string) []Problem {
	const want = `a URL such as "http://10.0.0.9:8080"`
	if text == "" {
		return required(key, text, want)
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return []Problem{{key, fmt.Sprintf("want %s, got %q", want, text)}}
	}
	return nil
}
