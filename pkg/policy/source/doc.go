// Package source decides from which control VM an entry VM fetches the route table. A control VM
// that has stated the number of a newer table has it; one that has not may be behind. Those of the
// own zone come first, and each entry VM has its own order among them, so that the fetches spread
// over all of them by rendezvous hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings
// to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998).
package source
