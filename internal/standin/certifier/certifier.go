package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	// backdate allows for hosts whose clocks are behind that of the authority.
	backdate = time.Hour
	// lifetime is longer than any test or demo run.
	lifetime = 30 * 24 * time.Hour
	// serialBits is the size of the random serial numbers; RFC 5280 allows 20 octets.
	serialBits = 127
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// ErrorKind is the step that failed.
type ErrorKind string

// Kinds of Error.
const (
	// KindKey means that a key or a serial number could not be created, or a key could not be encoded or loaded.
	KindKey ErrorKind = "key"
	// KindSign means that a certificate could not be signed or parsed.
	KindSign ErrorKind = "sign"
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "certifier: could not " + e.Op + " (" + string(e.Kind) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Authority signs node certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

// NodeCertificate is the certificate of a node with its private key, both as PEM.
type NodeCertificate struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// New returns an authority with a new key and a self-signed certificate for the name.
func New(name string) (*Authority, error) {
	const op = "create an authority"
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindKey, Err: errors.WithStack(err)}
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindKey, Err: err}
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindSign, Err: errors.WithStack(err)}
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindSign, Err: errors.WithStack(err)}
	}
	return &Authority{certificate: certificate, key: key, der: der}, nil
}

// PEM returns the certificate of the authority as PEM.
func (a *Authority) PEM() []byte { return certificatePEM(a.der) }

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue creates a key and a certificate that names the node in a DNS SAN and in the URI SAN yuccarock://node/<name>.
func (a *Authority) Issue(node string) (*NodeCertificate, error) {
	const op = "issue a node certificate"
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindKey, Err: errors.WithStack(err)}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindKey, Err: errors.WithStack(err)}
	}
	template, err := newTemplate(node)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindKey, Err: err}
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{node}
	template.URIs = []*url.URL{{Scheme: "yuccarock", Host: "node", Path: "/" + node}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindSign, Err: errors.WithStack(err)}
	}
	return &NodeCertificate{
		CertificatePEM: certificatePEM(der),
		KeyPEM:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLS returns the certificate and key for crypto/tls.
func (n *NodeCertificate) TLS() (tls.Certificate, error) {
	pair, err := tls.X509KeyPair(n.CertificatePEM, n.KeyPEM)
	if err != nil {
		return tls.Certificate{}, &Error{Op: "load a key pair", Kind: KindKey, Err: errors.WithStack(err)}
	}
	return pair, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func certificatePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
