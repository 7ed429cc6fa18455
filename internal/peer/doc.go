// Package peer implements requests between the VMs of a deployment. A link is one TCP
// connection that yamux multiplexes into streams. Each stream carries one request and one
// or more responses as length-prefixed protobuf messages.
//
// A VM dials one link to each peer and accepts the links that its peers dial. Both ends
// prove that they hold the deployment's shared secret before the first stream opens. A
// link that does not answer a ping is closed and dialled again, because an established
// connection can stop carrying data permanently while new connections work.
package peer
