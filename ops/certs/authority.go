package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/settings"
)

// Files in the folder of an authority or a process.
const (
	CAFile   = "ca.pem"
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
)

const (
	// serialBits is the size of a random serial number, as RFC 5280 allows.
	serialBits = 127
	// backdate makes a new certificate valid at once where clocks differ a
	// little.
	backdate = time.Hour

	typeCertificate = "CERTIFICATE"
	typePrivateKey  = "PRIVATE KEY"

	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
)

// Authority signs the certificates of the system's processes. It is for
// deployments that have no authority of their own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority that is valid for the given
// time.
func NewAuthority(name string, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "certs: generate the authority's key")
	}
	template, err := newTemplate(name, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "certs: create the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "certs: read the authority's certificate")
}

// LoadAuthority reads the files that Save wrote.
func LoadAuthority(folder string) (*Authority, error) {
	der, err := readPEM(filepath.Join(folder, CAFile), typeCertificate)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrapf(err, "certs: read %s", CAFile)
	}
	private, err := readPEM(filepath.Join(folder, KeyFile), typePrivateKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(private)
	if err != nil {
		return nil, eris.Wrapf(err, "certs: read %s", KeyFile)
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.Errorf("certs: %s: want an ECDSA key, got %T", KeyFile, key)
	}
	return &Authority{cert: cert, key: signer}, nil
}

// Save writes the authority into a folder. It never replaces an existing
// authority, since all certificates signed by that authority would become
// invalid.
func (a *Authority) Save(folder string) error {
	private, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return eris.Wrap(err, "certs: encode the authority's key")
	}
	if err := writePEM(filepath.Join(folder, KeyFile), typePrivateKey, private, privateMode, os.O_EXCL); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, CAFile), typeCertificate, a.cert.Raw, publicMode, os.O_EXCL)
}

// Issue writes a certificate for one process, its key and the authority's
// certificate into a folder, and returns their paths as settings. It replaces
// the files of an earlier certificate, as a renewal requires.
func (a *Authority) Issue(folder, name string, valid time.Duration) (settings.PeerTLS, error) {
	files := settings.PeerTLS{
		Cert: filepath.Join(folder, CertFile),
		Key:  filepath.Join(folder, KeyFile),
		CA:   filepath.Join(folder, CAFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "certs: generate a key")
	}
	template, err := newTemplate(name, valid)
	if err != nil {
		return files, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrap(err, "certs: sign a certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "certs: encode a key")
	}
	for _, file := range []struct {
		path, kind string
		der        []byte
		mode       os.FileMode
	}{
		{files.Key, typePrivateKey, private, privateMode},
		{files.Cert, typeCertificate, der, publicMode},
		{files.CA, typeCertificate, a.cert.Raw, publicMode},
	} {
		if err := writePEM(file.path, file.kind, file.der, file.mode, os.O_TRUNC); err != nil {
			return files, err
		}
	}
	return files, nil
}

func newTemplate(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "certs: generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}, nil
}

func readPEM(path, kind string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "certs: read a file")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, eris.Errorf("certs: expected a PEM block %q in %s", kind, path)
	}
	return block.Bytes, nil
}

// writePEM writes one block; flag is os.O_EXCL or os.O_TRUNC.
func writePEM(path, kind string, der []byte, mode os.FileMode, flag int) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return eris.Wrap(err, "certs: create a folder")
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|flag, mode)
	if err != nil {
		return eris.Wrap(err, "certs: write a file")
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		f.Close()
		return eris.Wrap(err, "certs: write a file")
	}
	return eris.Wrap(f.Close(), "certs: write a file")
}
