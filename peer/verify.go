package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"
)

// verifyChain checks that the other end's certificate was signed by the CA of
// a configuration, if it has one.
func verifyChain(s tls.ConnectionState, cfg *tls.Config) error {
	if len(s.PeerCertificates) == 0 {
		return eris.New("got no certificate")
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
