package linker

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

const (
	// protocolName is the application protocol of the TLS handshake.
	protocolName = "yuccarock-peer/1"
	// uriScheme and uriHost begin the URI SAN that names a node, as in yuccarock://node/<name>.
	uriScheme = "yuccarock"
	uriHost   = "node"
)

// Identity is the certificate of this node and the authorities whose certificates it accepts from peers.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// Credentials gives the identity for each new handshake.
type Credentials interface {
	Identity() (*Identity, error)
}

// ParseIdentity returns the identity of a certificate, its key and the authorities, all as PEM.
func ParseIdentity(certificate, key, authorities []byte) (*Identity, error) {
	const op = "parse an identity"
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, wrap(op, KindCredentials, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, failure(op, KindCredentials, "there is no authority certificate")
	}
	return &Identity{Certificate: pair, Authorities: pool}, nil
}

// ReadIdentity returns the identity that is in three PEM files.
func ReadIdentity(certificateFile, keyFile, authoritiesFile string) (*Identity, error) {
	var parts [3][]byte
	for i, name := range []string{certificateFile, keyFile, authoritiesFile} {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, wrap("read an identity", KindCredentials, err)
		}
		parts[i] = data
	}
	return ParseIdentity(parts[0], parts[1], parts[2])
}

// Keyring holds an identity that can be replaced while links are up.
type Keyring struct {
	current *holder.Holder[Identity]
}

// NewKeyring returns a keyring with an identity.
func NewKeyring(identity *Identity) *Keyring { return &Keyring{current: holder.New(identity)} }

// Identity returns the identity in use.
func (k *Keyring) Identity() (*Identity, error) { return k.current.Load(), nil }

// Replace sets the identity for new handshakes; links that are up go on.
func (k *Keyring) Replace(identity *Identity) {
	k.current.Update(func(*Identity) *Identity { return identity })
}

// Files reads an identity from three PEM files before each handshake, so that replaced files take effect without
// a restart.
type Files struct {
	certificate string
	key         string
	authorities string
	last        *Keyring
}

// NewFiles returns the credentials in three files, which must be readable now.
func NewFiles(certificateFile, keyFile, authoritiesFile string) (*Files, error) {
	identity, err := ReadIdentity(certificateFile, keyFile, authoritiesFile)
	if err != nil {
		return nil, err
	}
	return &Files{
		certificate: certificateFile, key: keyFile, authorities: authoritiesFile, last: NewKeyring(identity),
	}, nil
}

// Identity returns the identity in the files, or the last one that was readable, since the files may be read
// while they are being replaced.
func (f *Files) Identity() (*Identity, error) {
	identity, err := ReadIdentity(f.certificate, f.key, f.authorities)
	if err != nil {
		return f.last.Identity()
	}
	f.last.Replace(identity)
	return identity, nil
}

// nodeName returns the part of a node ID that certificates name.
func nodeName(id broker.NodeID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// names returns whether the certificate names the node in a DNS SAN or URI SAN; wildcards do not count.
func names(certificate *x509.Certificate, node string) bool {
	if node == "" {
		return false
	}
	if slices.Contains(certificate.DNSNames, node) {
		return true
	}
	return slices.ContainsFunc(certificate.URIs, func(uri *url.URL) bool {
		return uri.Scheme == uriScheme && uri.Host == uriHost && uri.Path == "/"+node
	})
}

// acceptorTLS returns the configuration for handshakes with dialing peers; the name is checked with the hello.
func acceptorTLS(credentials Credentials, failed func()) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		identity, err := credentials.Identity()
		if err != nil {
			failed()
			return nil, err
		}
		config := handshakeTLS(identity, x509.ExtKeyUsageClientAuth, func(*x509.Certificate) error { return nil })
		config.ClientAuth = tls.RequireAnyClientCert
		verify := config.VerifyConnection
		config.VerifyConnection = func(state tls.ConnectionState) error {
			err := verify(state)
			if err != nil {
				failed()
			}
			return err
		}
		return config, nil
	}
	return base
}

// dialerTLS returns the configuration for one handshake with the node.
func dialerTLS(credentials Credentials, node string) (*tls.Config, error) {
	identity, err := credentials.Identity()
	if err != nil {
		return nil, wrap("load the own identity", KindCredentials, err)
	}
	config := handshakeTLS(identity, x509.ExtKeyUsageServerAuth, func(certificate *x509.Certificate) error {
		if !names(certificate, node) {
			return failure("verify a peer", KindWrongNode, "the certificate does not name the node")
		}
		return nil
	})
	config.ServerName = node
	// VerifyConnection verifies the chain and the name; the standard check knows no URI SAN.
	config.InsecureSkipVerify = true
	return config, nil
}

// handshakeTLS verifies the chain itself in both roles, so that every failure is seen and counted. Session
// tickets are off, since a resumed session would not be verified against replaced authorities.
func handshakeTLS(
	identity *Identity, usage x509.ExtKeyUsage, check func(*x509.Certificate) error,
) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		const op = "verify a peer"
		if len(state.PeerCertificates) == 0 {
			return failure(op, KindUntrusted, "there is no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         identity.Authorities,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &Error{Op: op, Kind: KindUntrusted, Err: errors.WithStack(err)}
		}
		return check(state.PeerCertificates[0])
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		Certificates:           []tls.Certificate{identity.Certificate},
		SessionTicketsDisabled: true,
		VerifyConnection:       verify,
	}
}
