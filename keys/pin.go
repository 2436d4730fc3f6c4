package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"time"
)

// Pinned returns the TLS configuration of a host without a CA: it presents a
// self-signed certificate, and accepts peers whose pin is trusted. The returned
// pin, a digest of the certificate, identifies the host to others.
func Pinned(name string, now time.Time, trusted func(pin string) bool) (cfg *tls.Config, pin string, err error) {
	t := template(name, now, certValidity)
	t.DNSNames = []string{name}
	own, err := sign(t, nil, nil)
	if err != nil {
		return nil, "", err
	}
	pair, err := tls.X509KeyPair(own.Cert, own.Key)
	if err != nil {
		return nil, "", &Error{Op: "read certificate", Kind: KindUnreadable, Cause: err}
	}
	cfg = &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAnyClientCert,
		// The pin is verified instead of a certificate chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return &Error{Op: "verify", Kind: KindUntrusted, Cause: fmt.Errorf("peer presented no certificate")}
			}
			if got := pinOf(s.PeerCertificates[0].Raw); !trusted(got) {
				return &Error{Op: "verify", Kind: KindUntrusted, Cause: fmt.Errorf("certificate pin %s is not trusted", got)}
			}
			return nil
		},
		MinVersion: tls.VersionTLS13,
	}
	return cfg, pinOf(pair.Leaf.Raw), nil
}

// pinBytes is the length to which the digest is truncated.
const pinBytes = 16

func pinOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:pinBytes])
}
