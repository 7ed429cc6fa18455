// Package indexheap implements a binary heap of int32 ids whose members can be
// updated or removed by their position.
//
// container/heap passes members as any, which allocates for most integers. The
// scheduling decisions on the request path must not allocate, so this package
// implements the heap for int32 ids without an interface conversion.
package indexheap
