package workload

import (
	"net/http"
	"strconv"
)

// Class is a set of requests that are expected to cost about the same work. Its size is bounded for each route: a client
// cannot create further classes by other methods or sizes.
type Class struct {
	Route  string
	Method string // one of the usual methods, or OtherMethod
	Size   uint8  // size class of the body, see SizeName
}

// OtherMethod is the method of the classes of all requests with an unusual method.
const OtherMethod = "other"

// sizeBounds are the upper bounds in bytes of the size classes of bodies. Larger bodies are in the last class.
var sizeBounds = [...]int{0, 1 << 10, 8 << 10, 64 << 10}

// NewClass returns the class of a request with a body of the given size.
func NewClass(route, method string, bodyBytes int) Class {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		method = OtherMethod
	}
	size := uint8(0)
	for int(size) < len(sizeBounds) && bodyBytes > sizeBounds[size] {
		size++
	}
	return Class{route, method, size}
}

// whole returns the class that stands for all requests of the route.
func (c Class) whole() Class {
	return Class{Route: c.Route}
}

// SizeName returns the largest body of the size class in bytes, or "more".
func (c Class) SizeName() string {
	if int(c.Size) < len(sizeBounds) {
		return strconv.Itoa(sizeBounds[c.Size])
	}
	return "more"
}

// String returns the route, the method and the size class.
func (c Class) String() string {
	return c.Route + " " + c.Method + " " + c.SizeName()
}
