// Package intake bounds what callers and others may take of a process through its listeners: the connections that an
// entry reads by the processor time that it has, the connections that stay open by the descriptors of the process, and
// the headers of requests by a memory that they share. A connection that is closed unread costs its caller one quick
// try, and the next try meets another entry. A request that is read and can't be served in time is lost.
package intake
