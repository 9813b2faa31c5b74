//go:build tools

// Package tools keeps the generator of the Twirp code in go.mod, at the version
// that internal/rpc/generate.sh needs.
package tools

import (
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
)
