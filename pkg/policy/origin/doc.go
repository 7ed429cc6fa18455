// Package origin decides where a stream of events may be continued. A stream that has broken
// off may only go on at an upstream with the software version that began it: what two versions
// write for one request does not fit together, and nothing in the events shows it.
package origin
