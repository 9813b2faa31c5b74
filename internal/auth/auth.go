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

const bearerPrefix = "Bearer "

// BearerToken returns the bearer token of the Authorization header, or "" if it has none.
func BearerToken(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return value[len(bearerPrefix):]
}

// Equal compares two tokens in constant time. The duration reveals neither the position of the
// first difference nor the length of either token.
func Equal(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// KeyHash returns the hex SHA-256 of a workspace key, as stored in the configuration. A lookup
// by hash reveals nothing about the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HasToken reports whether a request carries the token. An empty token allows every request.
// Package settings accepts an empty token only where the setting permits it.
func HasToken(h http.Header, token string) bool {
	return token == "" || Equal(BearerToken(h), token)
}

// RequireTokenMiddleware returns middleware that refuses requests without the token.
func RequireTokenMiddleware(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !HasToken(c.Request().Header, token) {
				return failure.New(failure.TypeUnauthenticated, "a bearer token is needed")
			}
			return next(c)
		}
	}
}

// RequireToken returns a handler that refuses requests without the token and passes all others to
// h.
func RequireToken(token string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HasToken(r.Header, token) {
			failure.Write(w, failure.New(failure.TypeUnauthenticated, "a bearer token is needed"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Transport is an http.RoundTripper that adds the token to each request.
type Transport struct {
	Token string
	Base  http.RoundTripper
}

// CloseIdleConnections closes the idle connections of Base. http.Client.CloseIdleConnections
// calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a copy of the request with the token.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	c.Header.Set("Authorization", bearerPrefix+t.Token)
	return t.Base.RoundTrip(c)
}
