// Package rpc holds the messages and drpc services that daemons speak to each
// other. finchspoke.proto is the source; the generated code is committed, so a
// build needs no generator.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative finchspoke.proto
