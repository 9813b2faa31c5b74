// Package auth checks bearer tokens and workspace keys in constant time.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/failure"
)

const scheme = "Bearer "

// FromHeader returns the bearer token of a request, or "".
func FromHeader(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return value[len(scheme):]
}

// Equal compares two tokens in a time that tells nothing of where they
// differ, or of the length of either.
func Equal(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// KeyHash returns the hex SHA-256 of a workspace key, as the configuration
// holds it. Looking a key up by its hash leaks nothing of the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Allowed tells whether a request carries the token. An empty token allows
// any request: the settings leave it empty only where they say so.
func Allowed(h http.Header, token string) bool {
	return token == "" || Equal(FromHeader(h), token)
}

// Bearer refuses requests without the token.
func Bearer(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !Allowed(c.Request().Header, token) {
				return failure.New(failure.TypeUnauthenticated, "a bearer token is needed")
			}
			return next(c)
		}
	}
}

// Handler refuses requests without the token before they reach h.
func Handler(token string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Allowed(r.Header, token) {
			failure.Write(w, failure.New(failure.TypeUnauthenticated, "a bearer token is needed"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Transport adds the token to each request that it sends.
type Transport struct {
	Token string
	Base  http.RoundTripper
}

// CloseIdleConnections closes those of Base; http.Client asks for it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends the request with the token.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	c.Header.Set("Authorization", scheme+t.Token)
	return t.Base.RoundTrip(c)
}
