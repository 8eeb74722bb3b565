package hgpeer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// Secure returns the TLS settings of both sides between nodes: each shows its certificate, and takes only those that the
// authority signed. The names are not checked, as nodes are told by their addresses and any node may serve any program.
func Secure(certFile, keyFile, authorityFile string) (cfg *tls.Config, err error) {
	defer func() { err = trace.Wrap(err, "keys between nodes") }()
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
		return nil, trace.BadParameter("%s holds no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority,
		// The usual check would want a name; VerifyConnection does the rest of it.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, authority) },
	}, nil
}

// verify checks that the other side's certificate is signed by the authority and valid now.
func verify(s tls.ConnectionState, authority *x509.CertPool) (err error) {
	if len(s.PeerCertificates) == 0 {
		return trace.AccessDenied("no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
