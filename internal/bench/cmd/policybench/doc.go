// Command policybench measures the policy on a virtual clock. It takes the names of
// measurements (routing, placement, batching; all of them by default), prints one
// line "name value unit bound PASS|FAIL" for each figure, and ends with status 1 if a
// bound is missed. With "-curve FILE" it also draws the curve of StallWeight.
package main
