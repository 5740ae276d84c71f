package server

import (
	"os"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/loader"
)

// FileCredentials reads the keys of the peer link from files, and again when one of them has changed.
type FileCredentials struct {
	files loader.TLS

	mu       sync.Mutex
	identity *linker.Identity
	changed  time.Time
}

// NewFileCredentials returns credentials from files, or an error of kind keys where they cannot be read.
func NewFileCredentials(files loader.TLS) (*FileCredentials, error) {
	c := &FileCredentials{files: files}
	if _, err := c.Identity(); err != nil {
		return nil, &Error{Op: "read the keys of the peer link", Kind: KindKeys, Err: err}
	}
	return c, nil
}

// Identity returns the present keys; while files cannot be read, as in the middle of a rotation, it returns the
// last ones that could.
func (c *FileCredentials) Identity() (*linker.Identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.lastChange()
	if c.identity != nil && changed.Equal(c.changed) {
		return c.identity, nil
	}
	identity, err := linker.ReadIdentity(c.files.Certificate, c.files.Key, c.files.CA)
	if err != nil {
		if c.identity != nil {
			return c.identity, nil
		}
		return nil, err
	}
	c.identity, c.changed = identity, changed
	return identity, nil
}

func (c *FileCredentials) lastChange() time.Time {
	var last time.Time
	for _, name := range []string{c.files.CA, c.files.Certificate, c.files.Key} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}
