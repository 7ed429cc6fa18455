// Package wire contains the generated types of the messages between VMs. The
// messages are defined in wire.proto. The generated wire.pb.go is committed, so
// that a build does not need protoc.
package wire

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=module=github.com/dandelionring/dandelionring internal/wire/wire.proto
