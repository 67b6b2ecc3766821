// Package keys generates bearer keys and checks them against their hashes. A
// key itself is shown once, when it is generated; only hashes are stored.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	// Prefix marks a string as a persimmonrock key, so that scanners of
	// leaked secrets can find it.
	Prefix = "prk_"
	// randomBytes is the entropy of a key. At 256 bits a plain hash is enough:
	// a dictionary attack on it is not feasible.
	randomBytes = 32
)

// Generate returns a new random key.
func Generate() string {
	b := make([]byte, randomBytes)
	rand.Read(b)
	return Prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Hash returns the lower-case hex SHA-256 of key, the form that contracts
// store.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Match reports whether the hash of key is one of hashes. It always compares
// all hashes, so that a caller can't learn from response times how close a
// guess was.
func Match(hashes []string, key string) bool {
	given := []byte(Hash(key))
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), given)
	}
	return found == 1 && key != ""
}

// Bearer returns the key of the request's Authorization header, or "".
func Bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
