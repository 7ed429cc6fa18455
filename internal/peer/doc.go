// Package peer speaks to other VMs of the deployment. A link is one TCP connection
// with yamux streams; each stream carries one request and one or more responses as
// length-prefixed protobuf messages.
//
// A VM dials its own link to each peer and accepts the links of the others. Both
// ends prove that they hold the deployment's shared secret before the first stream.
// A link that does not answer a ping is closed and dialled anew, since an open
// connection can go silent for good while new ones work.
package peer
