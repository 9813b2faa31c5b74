package settings

import (
	"io/fs"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/tomlfile"
)

// Reasons to refuse a token file.
const (
	ErrTokenEmpty         = errors.ConstError("the file holds no token")
	ErrTokenWorldReadable = errors.ConstError("the file can be read by every user of the machine")
	ErrTokenNotRegular    = errors.ConstError("not a regular file")
)

const (
	allowedTokenFile = "a file with the token on its first line, readable by its owner or group only (chmod 600 FILE)"
	worldReadableBit = fs.FileMode(0o004)
)

// ReadToken returns the token on the first line of the file at path, without
// surrounding white space. It refuses a file that every user of the machine can
// read, because its token is not secret.
func ReadToken(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", errors.Trace(err)
	}
	if !info.Mode().IsRegular() {
		return "", errors.Annotate(ErrTokenNotRegular, path)
	}
	if info.Mode().Perm()&worldReadableBit != 0 {
		return "", errors.Annotate(ErrTokenWorldReadable, path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Trace(err)
	}
	token, _, _ := strings.Cut(strings.TrimSpace(string(data)), "\n")
	if token = strings.TrimSpace(token); token == "" {
		return "", errors.Annotate(ErrTokenEmpty, path)
	}
	return token, nil
}

func (s *Settings) checkTokenFiles(d *tomlfile.Document) {
	files := []struct{ key, path string }{
		{"entry.announce_token_file", s.Entry.AnnounceTokenFile},
		{"entry.backend_token_file", s.Entry.BackendTokenFile},
		{"admin.token_file", s.Admin.TokenFile},
		{"peers.token_file", s.Peers.TokenFile},
	}
	for _, f := range files {
		if f.path == "" || d.HasFault(f.key) {
			continue
		}
		if _, err := ReadToken(f.path); err != nil {
			d.AddFault(f.key, f.path+": "+fileErrorText(err), allowedTokenFile)
		}
	}
}

// fileErrorText returns the reason why a file could not be used, without the
// file's path.
func fileErrorText(err error) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return errors.Cause(err).Error()
}
