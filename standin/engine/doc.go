// Package engine simulates a model engine. It runs requests in a continuous batch,
// holds adapters in slots, caches prompt prefixes in limited memory, and counts the
// requests and orders that an engine must not receive.
//
// The generated text is a function of adapter, version and prompt, so that a check
// can recompute every answer.
package engine
