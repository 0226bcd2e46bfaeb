// Package balancer states how an attempt chooses among the replicas of a service.
package balancer
