// Package route finds the route that matches a request and selects the service that
// receives it.
package route
