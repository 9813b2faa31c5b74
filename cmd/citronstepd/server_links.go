//go:build citronstep_test_links

package main

import (
	"os"

	"github.com/citronstep/citronstep/test/serverlinks"
)

// A daemon that is built for tests follows a file that says how its links to backend servers fail.
func init() {
	if file := os.Getenv(serverlinks.Variable); file != "" {
		dialBackend = serverlinks.Follow(file).Dial
	}
}
