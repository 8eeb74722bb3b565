package hgpeer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// TLSConfig returns the TLS configuration for both sides of the connections between nodes. Each side presents its certificate,
// and accepts only certificates that the authority signed. Names are not checked, because nodes are identified by their
// addresses and any node may serve any program.
func TLSConfig(certFile, keyFile, authorityFile string) (cfg *tls.Config, err error) {
	defer func() { err = trace.Wrap(err, "TLS keys for connections between nodes") }()
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("authority file %s contains no PEM certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority,
		// The standard verification requires a host name; VerifyConnection does all of it but the name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, authority) },
	}, nil
}

// verify checks that the certificate of the other side is signed by the authority and currently valid.
func verify(s tls.ConnectionState, authority *x509.CertPool) (err error) {
	if len(s.PeerCertificates) == 0 {
		return trace.AccessDenied("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
