// Package indexheap holds a binary heap of small integer ids whose members can
// be moved or removed by their position.
//
// container/heap passes members as any, which allocates for most integers. The
// decisions on the request path must not allocate, so the heap is written out
// here for int32 ids.
package indexheap
