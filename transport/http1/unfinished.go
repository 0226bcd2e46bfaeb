package http1

import (
	"container/list"
	"sync"
)

// unfinishedResponse is a response that is being read.
type unfinishedResponse struct {
	conn     *conn
	exchange *Exchange
}

// unfinished holds the exchanges whose response is larger than smallResponse and not complete. Each can occupy a head or
// body of 64 KB until its call is given up, so their number bounds the memory that upstreams can fill.
type unfinished struct {
	mu       sync.Mutex // no other lock is taken while it is held
	order    *list.List // of unfinishedResponse, the one that has been read for longest first
	elements map[*Exchange]*list.Element
}

func newUnfinished() *unfinished {
	return &unfinished{order: list.New(), elements: map[*Exchange]*list.Element{}}
}

// add adds a response. If there are too many, it removes the one that has been read for longest, which is the most likely
// not to end, and returns it.
func (u *unfinished) add(r unfinishedResponse) (longest unfinishedResponse, tooMany bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.elements[r.exchange] = u.order.PushBack(r)
	if u.order.Len() <= maxUnfinished {
		return unfinishedResponse{}, false
	}
	longest = u.order.Remove(u.order.Front()).(unfinishedResponse)
	delete(u.elements, longest.exchange)
	return longest, true
}

// remove removes the response of an exchange if it is still held.
func (u *unfinished) remove(e *Exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if element, ok := u.elements[e]; ok {
		u.order.Remove(element)
		delete(u.elements, e)
	}
}

// size returns the number of responses.
func (u *unfinished) size() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.order.Len()
}
