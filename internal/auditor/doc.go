// Package auditor takes the audit records of one VM to disks. It numbers them,
// sends them in batches to the nearest disk VM, and sends a second copy to another
// one until that is acknowledged. While no disk can be reached it keeps records in
// memory, with a copy on another VM of the zone, and marks them.
//
// The auditor's table is the audit queue, number 4 in the lock order of a VM.
package auditor
