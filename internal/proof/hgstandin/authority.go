package hgstandin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Authority is a certificate authority that signs the nodes' TLS certificates in tests.
type Authority struct {
	// File is the path of the authority's certificate, in PEM.
	File string
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority, valid for an hour, and writes its certificate into dir. Sign writes there too.
func NewAuthority(dir string) (a *Authority, err error) {
	defer func() { err = trace.Wrap(err, "authority") }()
	a = &Authority{File: filepath.Join(dir, "authority.pem"), dir: dir}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, a.key.Public(), a.key)
	if err != nil {
		return nil, err
	}
	return a, writePEM(a.File, "CERTIFICATE", der)
}

// Sign creates a certificate for a node that is valid until end, and returns the paths of the certificate and of its key.
func (a *Authority) Sign(node string, end time.Time) (certFile, keyFile string, err error) {
	defer func() { err = trace.Wrap(err, "certificate of %s", node) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	cert := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: end}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(a.dir, node+".pem"), filepath.Join(a.dir, node+".key")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
