// Package fleet keeps what an entry VM knows of the upstreams, the weights of engines, the
// route table and the control VMs. It watches every control VM that it knows: each one
// reports the upstreams that announce themselves to it, and the owner of a zone's engines
// reports their weights. The last report of a control VM stays valid while that VM cannot
// be reached.
package fleet
