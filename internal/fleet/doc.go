// Package fleet keeps what an entry VM knows of the upstreams, of the engines' weights, of
// the route table and of the control VMs. It follows every control VM that it knows: each
// one tells of the upstreams that announce themselves to it, and the owner of a zone's
// engines of the weights that these hold. What a VM said stays in force while it cannot
// be reached.
package fleet
