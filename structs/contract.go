package structs

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Duration is a time.Duration encoded in JSON as a Go string ("250ms").
type Duration time.Duration

// MarshalJSON writes the duration as a quoted Go duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a quoted Go duration string. A bare number is refused,
// since its unit is ambiguous.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf(`want a duration such as "250ms", got %s`, b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`want a duration such as "250ms", got %q`, s)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Contract states the entitlement of one customer. Every limit on the customer
// derives from it.
type Contract struct {
	Customer Customer `json:"customer"`
	// LatencyTarget is the time within which the customer's urgent calls must
	// be answered. It is also the deadline of a call that sets no deadline.
	LatencyTarget Duration `json:"latency_target"`
	// BatchQueue is the maximum number of the customer's unfinished batch jobs.
	BatchQueue int `json:"batch_queue"`
	// Share is the fraction of all slots that the customer may hold, in (0, 1].
	Share float64 `json:"share"`
	// KeyHashes are the hex SHA-256 hashes of the currently valid keys. Two
	// keys at a time allow a key rotation without interruption.
	KeyHashes []string `json:"key_hashes"`
	// Revision is the configuration revision that accepted this contract; it
	// is set by the system and ignored on input.
	Revision Revision `json:"revision,omitempty"`
}

// Limits on the fields of a contract.
const (
	MaxLatencyTarget = time.Hour
	MaxBatchQueue    = 1_000_000
	MaxKeyHashes     = 2
	KeyHashLength    = 64
)

// Validate returns an error for the first invalid field, or nil.
func (c Contract) Validate() error {
	switch {
	case c.Customer == "":
		return errors.New("customer: want a name")
	case c.LatencyTarget <= 0 || c.LatencyTarget.Std() > MaxLatencyTarget:
		return fmt.Errorf("latency_target: want above 0s and up to %s", MaxLatencyTarget)
	case c.BatchQueue < 0 || c.BatchQueue > MaxBatchQueue:
		return fmt.Errorf("batch_queue: want 0 to %d", MaxBatchQueue)
	case !(c.Share > 0 && c.Share <= 1):
		return errors.New("share: want above 0 and up to 1")
	case len(c.KeyHashes) > MaxKeyHashes:
		return fmt.Errorf("key_hashes: want at most %d", MaxKeyHashes)
	}
	for _, h := range c.KeyHashes {
		if !isHex(h, KeyHashLength) {
			return fmt.Errorf("key_hashes: want %d lower-case hex digits", KeyHashLength)
		}
	}
	return nil
}

func isHex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

// Config is one accepted configuration: all contracts at one revision. A
// process never replaces its configuration by one with a lower revision.
type Config struct {
	Revision  Revision              `json:"revision"`
	Contracts map[Customer]Contract `json:"contracts"`
}
