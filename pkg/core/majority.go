package core

// Majority returns the least number of VMs that is more than half of a group, so that two
// majorities of one group have a VM in common.
func Majority(group int) int { return group/2 + 1 }
