// Command azuretrestle runs an entry of the load balancer and its tools.
package main
