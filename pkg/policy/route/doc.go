// Package route finds the route of a request and the service that it goes to.
package route
