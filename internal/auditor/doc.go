// Package auditor delivers the audit records of one VM to disks. It numbers them, sends
// them in batches to the nearest VM with a disk, and sends a second copy to another such
// VM until that VM acknowledges it. While no disk can be reached, it buffers records in
// memory, with a copy on another VM of the zone, and marks them as buffered.
//
// The lock of the audit queue, Auditor.mutex, is number 4 in the lock order of a VM.
package auditor
