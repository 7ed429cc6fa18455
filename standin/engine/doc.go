// Package engine is a stand-in for a model engine. It runs requests in a
// continuous batch, holds adapters in slots, caches prompt prefixes in limited
// memory, and counts every order that an engine must not receive.
//
// The text that it generates is a function of adapter, version and prompt, so
// that a check can recompute every answer.
package engine
