// Package rpc defines the messages and DRPC services with which daemons communicate. They are
// generated from finchspoke.proto; the generated code is committed, so that a build does not need protoc.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative finchspoke.proto
