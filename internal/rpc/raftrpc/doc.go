// Package raftrpc is the protocol between consensus replicas: messages of the
// step machine, the question who a process is, and the request to join.
//
// The code is generated from raftrpc.proto and committed; regenerate it with
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	  --twirp_out=. --twirp_opt=paths=source_relative raftrpc.proto
package raftrpc
