// Package residency decides which engine of a zone holds which base model and adapters.
// The owner of a zone's engines keeps one Table: it takes in reports of the engines,
// reports of use and requests for a place, and returns orders.
//
// An order states the number of orders that the engine has accepted so far. The engine
// refuses it if another one came in between, so an order that was answered late or never
// cannot take effect beside one that was decided without it.
package residency
