// Package budget limits the adapter loads that one zone may request from the
// weight store, both per second and in transit.
//
// The leader of shard 0 splits the store's limit into one share per zone, and a
// share can change at run time. A load without a response counts as in transit
// until its time limit, because the store may still be sending the weights.
package budget
