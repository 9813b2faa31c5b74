//go:build tools

// Package tools pins the code generators and the libraries that the parts of
// the system share, so that parts built side by side agree on go.mod.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/log"
	_ "github.com/google/uuid"
	_ "github.com/juju/errors"
	_ "github.com/labstack/echo/v4"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/twitchtv/twirp"
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
