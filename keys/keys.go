package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"slices"
	"time"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnreadable means that a file cannot be read or decoded.
	KindUnreadable Kind = "unreadable"
	// KindFailed means that a key or certificate could not be created.
	KindFailed Kind = "failed"
	// KindUntrusted means that a certificate has the wrong role or an untrusted
	// pin, or that none was presented.
	KindUntrusted Kind = "stranger"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("keys %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Pair is a certificate with its private key, both PEM-encoded.
type Pair struct {
	Cert []byte
	Key  []byte
}

const (
	caValidity   = 10 * 365 * 24 * time.Hour
	certValidity = 365 * 24 * time.Hour
	// backdate is how long before its creation a certificate becomes valid, for
	// hosts whose clocks are behind.
	backdate   = time.Hour
	serialBits = 127
)

// NewCA creates a certificate authority.
func NewCA(now time.Time) (Pair, error) {
	t := template("bulrushshed CA", now, caValidity)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	return sign(t, nil, nil)
}

// Role is the kind of party that a certificate identifies.
type Role string

// The roles of certificates.
const (
	RoleHost     Role = "host"
	RoleOperator Role = "operator"
)

// New creates a certificate for a host that is reachable at the given IP
// addresses, or for an operator.
func New(ca Pair, role Role, name string, ips []net.IP, now time.Time) (Pair, error) {
	parent, err := tls.X509KeyPair(ca.Cert, ca.Key)
	if err != nil {
		return Pair{}, &Error{Op: "read ca", Kind: KindUnreadable, Cause: err}
	}
	t := template(name, now, certValidity)
	t.Subject.OrganizationalUnit = []string{string(role)}
	t.IPAddresses = ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(t, parent.Leaf, parent.PrivateKey)
}

func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	// crypto/rand.Read never returns an error; it aborts the program instead.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}
}

// sign generates a private key and a certificate for it from a template.
// Without a parent, the certificate is self-signed.
func sign(t, parent *x509.Certificate, parentKey any) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, &Error{Op: "generate", Kind: KindFailed, Cause: err}
	}
	if parent == nil {
		parent = t
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, &Error{Op: "sign", Kind: KindFailed, Cause: err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, &Error{Op: "marshal", Kind: KindFailed, Cause: err}
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Load reads a host's key material and returns the TLS configuration for both
// ends of its connections: each end presents a certificate of the same CA.
func Load(caFile, certFile, keyFile string) (*tls.Config, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &Error{Op: "read ca", Kind: KindUnreadable, Cause: err}
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, &Error{Op: "read certificate", Kind: KindUnreadable, Cause: err}
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, &Error{Op: "read key", Kind: KindUnreadable, Cause: err}
	}
	return Config(ca, Pair{Cert: cert, Key: key})
}

// RequireRole returns a copy of a configuration that also requires the peer's
// certificate to have one of the roles.
func RequireRole(cfg *tls.Config, roles ...Role) *tls.Config {
	cfg = cfg.Clone()
	cfg.VerifyConnection = func(s tls.ConnectionState) error {
		units := s.PeerCertificates[0].Subject.OrganizationalUnit
		for _, r := range roles {
			if slices.Contains(units, string(r)) {
				return nil
			}
		}
		return &Error{Op: "verify", Kind: KindUntrusted, Cause: fmt.Errorf("certificate has role %q, want one of %q", units, roles)}
	}
	return cfg
}

// Config returns the TLS configuration of a host whose peers' certificates must
// be signed by ca.
func Config(ca []byte, host Pair) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(host.Cert, host.Key)
	if err != nil {
		return nil, &Error{Op: "read certificate", Kind: KindUnreadable, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &Error{Op: "read ca", Kind: KindUnreadable, Cause: fmt.Errorf("no PEM certificate found")}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
