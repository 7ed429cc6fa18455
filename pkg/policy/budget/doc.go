// Package budget counts the adapter loads that one zone may ask of the weight
// store: loads per second and loads in transit.
//
// The whole limit is split into shares per zone by the leader of shard 0, and a
// share can change at run time. A load that was not answered occupies its place
// until its time limit, because the store may still be sending.
package budget
