// Package conviction finds out which content of requests crashes upstreams, so that it is
// refused for a time. The suspects at the end of an upstream process are the requests that
// it had begun to answer or was about to; their traits are the parts of their prompts and
// their content as a whole.
//
// An entry VM notes in a Passes which traits upstreams have answered. When a process ends,
// it reports the traits of its suspects with the time of their last pass. A Judge on each
// control VM merges the reports of all entry VMs. It convicts a trait that was suspect at
// several ends, one after the other, without a pass in between, and that explains more ends
// than any other. Control VMs judge independently of each other and need no majority, so
// that each side of a partition protects its upstreams. Each entry VM holds the verdicts in
// a Bans. A pass of a convicted trait anywhere ends its conviction.
//
// Package quarantine serves the deployments in which one VM owns a group of upstreams: it
// can run a suspect alone, which entry VMs that send independently cannot.
package conviction
