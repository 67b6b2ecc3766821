package certs

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func newAuthority(t *testing.T, name string) *Authority {
	t.Helper()
	a, err := NewAuthority(name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newProcess(t *testing.T, a *Authority, name string) *Certificate {
	t.Helper()
	files, err := a.Issue(t.TempDir(), name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(files.Files())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// renew issues new files in place of those of c.
func (c *Certificate) renew(t *testing.T, a *Authority, name string) {
	t.Helper()
	if _, err := a.Issue(filepath.Dir(c.files.Cert), name, time.Hour); err != nil {
		t.Fatal(err)
	}
	c.expireCheck()
}

// expireCheck makes the next handshake check the files.
func (c *Certificate) expireCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastChecked = time.Time{}
}

// handshake makes a connection and returns the server's name as the client sees
// it, and both sides' errors.
func handshake(t *testing.T, client, server *tls.Config) (name string, err error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer c.Close()
		served <- c.(*tls.Conn).Handshake()
	}()
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 10 * time.Second}, "tcp", l.Addr().String(), client)
	if err == nil {
		name = c.ConnectionState().PeerCertificates[0].Subject.CommonName
		defer c.Close()
	}
	return name, errors.Join(err, <-served)
}

func TestChangedCertificateIsReloadedUnlessBroken(t *testing.T) {
	a := newAuthority(t, "ours")
	c, client := newProcess(t, a, "first"), newProcess(t, a, "client").Client()
	want := func(name string, failed int64) {
		t.Helper()
		if got, err := handshake(t, client, c.Server()); err != nil || got != name || c.failedReloads != failed {
			t.Errorf("got %q, %v, with %d failures; want %q with %d", got, err, c.failedReloads, name, failed)
		}
	}
	want("first", 0)
	os.WriteFile(c.files.Cert, []byte("no certificate"), 0o600)
	c.expireCheck()
	want("first", 1)
	c.renew(t, a, "second")
	want("second", 1)
}

// An attacker on the network between two processes answers for an agent, or
// dials an entry, with a certificate that another authority has signed, or with
// none. Both sides must refuse the connection, or the attacker reads a caller's
// request.
func TestUntrustedPeersAreRejected(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	entry, agent := newProcess(t, ours, "entry"), newProcess(t, ours, "agent")
	untrusted := newProcess(t, theirs, "stranger")
	unverified := &tls.Config{InsecureSkipVerify: true}
	for _, c := range []struct {
		name   string
		client *tls.Config
		server *tls.Config
		want   bool
	}{
		{"entry dials agent", entry.Client(), agent.Server(), true},
		{"entry dials stranger", entry.Client(), untrusted.Server(), false},
		{"stranger dials agent", untrusted.Client(), agent.Server(), false},
		{"stranger that trusts anyone dials agent", unverified, agent.Server(), false},
	} {
		if _, err := handshake(t, c.client, c.server); (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	// The deployment moves to the other authority; the running processes
	// follow.
	entry.renew(t, theirs, "entry")
	agent.renew(t, theirs, "agent")
	if _, err := handshake(t, entry.Client(), untrusted.Server()); err != nil {
		t.Error(err)
	}
}

// An operator creates the authority a second time in the same folder. This must
// not replace the first: renewed processes could not connect to others.
func TestAuthorityIsNeverReplaced(t *testing.T) {
	folder := t.TempDir()
	first := newAuthority(t, "ours")
	if err := first.Save(folder); err != nil {
		t.Fatal(err)
	}
	if err := newAuthority(t, "again").Save(folder); !errors.Is(err, os.ErrExist) {
		t.Errorf("got %v", err)
	}
	loaded, err := LoadAuthority(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, newProcess(t, loaded, "entry").Client(), newProcess(t, first, "agent").Server()); err != nil {
		t.Error(err)
	}
}
