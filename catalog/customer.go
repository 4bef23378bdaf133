package catalog

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Customer is an organization whose callers identify themselves by a key.
type Customer struct {
	Name string
	// Rank takes precedence over the rank of the route, unless it is nil.
	Rank  *int
	Quota Quota
	Keys  []string
}

// Quota limits the requests of a customer over all instances together.
type Quota struct {
	PerSecond float64 // 0 sets no limit
	Burst     float64
	// CountsTokens makes a request count as its prompt and output tokens, or as
	// DefaultTokens if it states none. Otherwise each request counts as 1.
	CountsTokens  bool
	DefaultTokens float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the amount of the quota that a request uses. The tokens are 0 if the
// request does not state them.
func (q Quota) Cost(promptTokens, outputTokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case promptTokens+outputTokens > 0:
		return float64(promptTokens + outputTokens)
	default:
		return q.DefaultTokens
	}
}

// keyDigest is a keyed hash of a customer's key. The duration of a look-up by it tells
// nothing of the keys in the config.
type keyDigest [sha256.Size]byte

// digestSecret makes digests unpredictable to callers.
var digestSecret = newDigestSecret()

func newDigestSecret() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // never fails
	return secret
}

func digestKey(key string) keyDigest {
	mac := hmac.New(sha256.New, digestSecret)
	_, _ = mac.Write([]byte(key)) // the hash never returns an error
	return keyDigest(mac.Sum(nil))
}

// customers is the index of a config's customers.
type customers struct {
	list  []*Customer
	byKey map[keyDigest]*Customer
}

// SetCustomers sets the customers of the config, of which there may be none. If two have
// the same key, it belongs to the first one. It must be called before the config is
// shared between goroutines.
func (c *Config) SetCustomers(list []*Customer) {
	c.customers = &customers{list: list, byKey: make(map[keyDigest]*Customer)}
	for _, customer := range list {
		for _, key := range customer.Keys {
			digest := digestKey(key)
			if _, taken := c.customers.byKey[digest]; !taken {
				c.customers.byKey[digest] = customer
			}
		}
	}
}

// HasCustomers reports whether requests need the key of a customer.
func (c *Config) HasCustomers() bool { return c.customers != nil }

// Customers returns the customers in the order in which they are declared.
func (c *Config) Customers() []*Customer {
	if c.customers == nil {
		return nil
	}
	return c.customers.list
}

// FindCustomer returns the customer that a key belongs to, or nil.
func (c *Config) FindCustomer(key string) *Customer {
	if c.customers == nil || key == "" {
		return nil
	}
	return c.customers.byKey[digestKey(key)]
}
