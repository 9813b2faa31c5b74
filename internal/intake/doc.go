// Package intake bounds the callers' connections that an entry reads by the processor time that it has. A connection
// that is closed unread costs its caller one quick try, and the next try meets another entry. A request that is read
// and can't be served in time is lost.
package intake
