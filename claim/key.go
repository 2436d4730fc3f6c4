package claim

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Home is one incarnation of a host.
type Home struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
}

// Key is an issued idempotency key.
type Key struct {
	Home   Home
	Issued time.Time
	Nonce  string
}

const (
	keyPrefix  = "bk1"
	nonceBytes = 12
	// keyParts is the number of parts: prefix, incarnation, time, nonce and
	// host.
	keyParts = 5
)

// Issue returns a new key of a home.
func Issue(h Home, now time.Time) Key {
	nonce := make([]byte, nonceBytes)
	// Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(nonce)
	return Key{Home: h, Issued: time.UnixMilli(now.UnixMilli()), Nonce: hex.EncodeToString(nonce)}
}

// String returns the text form that ParseKey parses.
func (k Key) String() string {
	return fmt.Sprintf("%s.%d.%d.%s.%s", keyPrefix, k.Home.Incarnation, k.Issued.UnixMilli(), k.Nonce, k.Home.Host)
}

// ParseKey parses an issued key; ok is false for any other text, such as a key
// that a caller made up.
func ParseKey(text string) (k Key, ok bool) {
	parts := strings.SplitN(text, ".", keyParts)
	if len(parts) != keyParts || parts[0] != keyPrefix || parts[4] == "" {
		return Key{}, false
	}
	incarnation, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, false
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || len(parts[3]) != 2*nonceBytes {
		return Key{}, false
	}
	k = Key{Home: Home{Host: parts[4], Incarnation: incarnation}, Issued: time.UnixMilli(ms), Nonce: parts[3]}
	return k, true
}
