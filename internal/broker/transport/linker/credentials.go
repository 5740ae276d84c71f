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
	// protocolName is the application protocol (ALPN) of the TLS handshake.
	protocolName = "yuccarock-peer/1"
	// uriScheme and uriHost are the first parts of the URI SAN that names a node: yuccarock://node/<name>.
	uriScheme = "yuccarock"
	uriHost   = "node"
)

// Identity is the certificate of this node and the certificate authorities that it trusts for peers.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// Credentials provides the identity of this node.
type Credentials interface {
	// Identity is called for each new handshake.
	Identity() (*Identity, error)
}

// ParseIdentity returns the identity made of a certificate, its key and the authorities, each in PEM. An error has
// KindCredentials.
func ParseIdentity(certificate, key, authorities []byte) (*Identity, error) {
	const op = "parse an identity"
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, wrap(op, KindCredentials, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, failure(op, KindCredentials, "the authorities contain no certificate in PEM")
	}
	return &Identity{Certificate: pair, Authorities: pool}, nil
}

// ReadIdentity reads an identity from three PEM files. An error has KindCredentials.
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

// MemoryCredentials holds an identity in memory; it can be replaced while links are up.
type MemoryCredentials struct {
	current *holder.Holder[Identity]
}

// NewMemoryCredentials returns credentials that provide identity until it is replaced.
func NewMemoryCredentials(identity *Identity) *MemoryCredentials {
	return &MemoryCredentials{current: holder.New(identity)}
}

// Identity returns the current identity.
func (m *MemoryCredentials) Identity() (*Identity, error) { return m.current.Load(), nil }

// Replace sets the identity for new handshakes; existing links stay up.
func (m *MemoryCredentials) Replace(identity *Identity) {
	m.current.Update(func(*Identity) *Identity { return identity })
}

// FileCredentials reads an identity from three PEM files before each handshake, so that replaced files take effect
// without a restart.
type FileCredentials struct {
	certificate string
	key         string
	authorities string
	last        *MemoryCredentials
}

// NewFileCredentials returns credentials that are read from three files; it fails if they cannot be read now.
func NewFileCredentials(certificateFile, keyFile, authoritiesFile string) (*FileCredentials, error) {
	identity, err := ReadIdentity(certificateFile, keyFile, authoritiesFile)
	if err != nil {
		return nil, err
	}
	return &FileCredentials{
		certificate: certificateFile, key: keyFile, authorities: authoritiesFile, last: NewMemoryCredentials(identity),
	}, nil
}

// Identity returns the identity in the files. While they are unreadable or inconsistent, as when they are being
// replaced, it returns the last one that could be read.
func (f *FileCredentials) Identity() (*Identity, error) {
	identity, err := ReadIdentity(f.certificate, f.key, f.authorities)
	if err != nil {
		return f.last.Identity()
	}
	f.last.Replace(identity)
	return identity, nil
}

// nodeName returns the part of a node ID before the incarnation, which is the name in the node's certificate.
func nodeName(id broker.NodeID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// certificateNames reports whether a DNS SAN or URI SAN of the certificate names the node; wildcards do not match.
func certificateNames(certificate *x509.Certificate, node string) bool {
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

// acceptorTLS returns the configuration for handshakes with peers that dial this node. It calls onFailure for each
// failed handshake. The name of the peer is checked later, when its hello arrives.
func acceptorTLS(credentials Credentials, onFailure func()) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		identity, err := credentials.Identity()
		if err != nil {
			onFailure()
			return nil, err
		}
		config := handshakeTLS(identity, x509.ExtKeyUsageClientAuth, func(*x509.Certificate) error { return nil })
		config.ClientAuth = tls.RequireAnyClientCert
		verify := config.VerifyConnection
		config.VerifyConnection = func(state tls.ConnectionState) error {
			err := verify(state)
			if err != nil {
				onFailure()
			}
			return err
		}
		return config, nil
	}
	return base
}

// dialerTLS returns the configuration for one handshake with a node that this node dials.
func dialerTLS(credentials Credentials, node string) (*tls.Config, error) {
	identity, err := credentials.Identity()
	if err != nil {
		return nil, wrap("load this node's identity", KindCredentials, err)
	}
	config := handshakeTLS(identity, x509.ExtKeyUsageServerAuth, func(certificate *x509.Certificate) error {
		if !certificateNames(certificate, node) {
			return failure("verify a peer", KindWrongNode, "the certificate does not name the node")
		}
		return nil
	})
	config.ServerName = node
	// VerifyConnection verifies the chain and the name, since the standard verification ignores URI SANs.
	config.InsecureSkipVerify = true
	return config, nil
}

// handshakeTLS returns the configuration shared by both roles. It verifies the chain in VerifyConnection, so that
// every failure is counted, and then calls checkName. Session tickets are disabled, since a resumed session would not
// be verified against replaced authorities.
func handshakeTLS(
	identity *Identity, usage x509.ExtKeyUsage, checkName func(*x509.Certificate) error,
) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		const op = "verify a peer"
		if len(state.PeerCertificates) == 0 {
			return failure(op, KindUntrusted, "the peer sent no certificate")
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
		return checkName(state.PeerCertificates[0])
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		Certificates:           []tls.Certificate{identity.Certificate},
		SessionTicketsDisabled: true,
		VerifyConnection:       verify,
	}
}
