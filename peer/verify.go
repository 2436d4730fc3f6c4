package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"
)

// verifyChain checks that the peer's certificate was signed by one of the
// configuration's CAs, if it has any.
func verifyChain(s tls.ConnectionState, cfg *tls.Config) error {
	if len(s.PeerCertificates) == 0 {
		return eris.New("peer presented no certificate")
	}
	if cfg.ClientCAs == nil {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: cfg.ClientCAs, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}
