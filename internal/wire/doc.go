// Package wire holds the generated messages between entry VMs. The messages
// are described in wire.proto; wire.pb.go is generated from it and committed,
// so that a build needs no generator.
package wire

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=module=github.com/dandelionring/dandelionring internal/wire/wire.proto
