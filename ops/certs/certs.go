// Package certs issues certificates and loads them for TLS servers and clients.
// Changes of the files take effect without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/settings"
)

// reloadInterval limits how often handshakes check for changed files.
const reloadInterval = time.Second

// Certificate serves the certificate files of settings.TLS and rereads them
// when they change, so that a renewal needs no restart. New files that can't be
// read leave the old ones in force and count as a failure, also while an
// operator has replaced only one file of the pair.
type Certificate struct {
	files settings.TLS
	// protocols are those that a server with this certificate offers, as in
	// tls.Config.NextProtos.
	protocols []string

	mu            sync.Mutex
	config        *tls.Config
	stamps        [3]fileStamp
	lastChecked   time.Time
	reloads       int64
	failedReloads int64
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// New reads the files. protocols are those that a server offers; connections
// among the system's own processes need none.
func New(files settings.TLS, protocols ...string) (*Certificate, error) {
	c := &Certificate{files: files, protocols: protocols}
	stamps, err := c.stat()
	if err != nil {
		return nil, err
	}
	config, err := c.read()
	if err != nil {
		return nil, err
	}
	c.config, c.stamps, c.lastChecked = config, stamps, time.Now()
	return c, nil
}

// Server returns a server's configuration that follows changes of the files.
// Clients must present a certificate if the files include a client authority.
func (c *Certificate) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: c.protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current(), nil
		},
	}
}

// Client returns the configuration of a process that dials its peers: it
// presents the certificate of the files, and accepts a server whose certificate
// the files' authority has signed. It compares no names, since instances are
// replaced under addresses that no certificate can name in advance.
func (c *Certificate) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// InsecureSkipVerify disables the checks of the name and of the chain;
		// verifyServer checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current().Certificates[0], nil
		},
	}
}

// verifyServer checks the server's chain against the authority in force.
//
// Guards against an attacker on the network between two processes who answers
// for a peer with the attacker's own certificate: this check fails the handshake
// before any message of the protocol is sent.
func (c *Certificate) verifyServer(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: c.current().ClientCAs, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return eris.Wrap(err, "certs: the peer's certificate")
	}
	return nil
}

// Vars returns the counters of the certificate.
func (c *Certificate) Vars() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]int64{"reloads": c.reloads, "failed_reloads": c.failedReloads}
}

func (c *Certificate) current() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastChecked) < reloadInterval {
		return c.config
	}
	c.lastChecked = time.Now()
	stamps, err := c.stat()
	if err == nil && stamps == c.stamps {
		return c.config
	}
	config, readErr := c.read()
	if err != nil || readErr != nil {
		c.failedReloads++
		return c.config
	}
	c.config, c.stamps = config, stamps
	c.reloads++
	return c.config
}

func (c *Certificate) stat() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, path := range []string{c.files.Cert, c.files.Key, c.files.ClientCA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return out, eris.Wrap(err, "certs: check the TLS files")
		}
		out[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func (c *Certificate) read() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "certs: load the TLS certificate")
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   c.protocols,
		Certificates: []tls.Certificate{pair},
	}
	if c.files.ClientCA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(c.files.ClientCA)
	if err != nil {
		return nil, eris.Wrap(err, "certs: read the TLS authority")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("certs: no certificate in %s", c.files.ClientCA)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
