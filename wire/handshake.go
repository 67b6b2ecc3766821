package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"
)

// Sizes and limits of the handshake.
const (
	nonceSize        = 32
	handshakeTimeout = 5 * time.Second
	// MinSecret is the minimum length of the shared secret in bytes.
	MinSecret = 16
)

// ErrPeerSecret says that the other side does not know the shared secret.
var ErrPeerSecret = errors.New("wire: the peer does not know the shared secret")

// proof is the HMAC-SHA-256 of the role and both nonces under the shared
// secret. The role prevents the reflection of a proof to its sender.
func proof(secret []byte, role string, server, client []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(role))
	m.Write(server)
	m.Write(client)
	return m.Sum(nil)
}

// serverHandshake runs the server's side: it sends a nonce, checks the client's
// proof and sends the server's proof under the secret that the client used.
func serverHandshake(c net.Conn, secrets [][]byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	server := make([]byte, nonceSize)
	rand.Read(server)
	if _, err := c.Write(server); err != nil {
		return err
	}
	answer := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return err
	}
	client := answer[:nonceSize]
	secret := matchingSecret(answer[nonceSize:], secrets, server, client)
	if secret == nil {
		return ErrPeerSecret
	}
	if _, err := c.Write(proof(secret, "server", server, client)); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// matchingSecret returns the secret with which the client made its proof, or
// nil.
func matchingSecret(got []byte, secrets [][]byte, server, client []byte) []byte {
	var found []byte
	for _, secret := range secrets {
		if hmac.Equal(got, proof(secret, "client", server, client)) {
			found = secret
		}
	}
	return found
}

func clientHandshake(c net.Conn, secret []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	server := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, server); err != nil {
		return err
	}
	client := make([]byte, nonceSize)
	rand.Read(client)
	answer := append(client, proof(secret, "client", server, client)...)
	if _, err := c.Write(answer); err != nil {
		return err
	}
	want := proof(secret, "server", server, client)
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return ErrPeerSecret
	}
	if !hmac.Equal(got, want) {
		return ErrPeerSecret
	}
	return c.SetReadDeadline(time.Time{})
}
